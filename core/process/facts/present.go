package facts

import (
	"net/netip"
	"slices"
	"time"
)

// seat is a place at which one target of a service can run at a time.
type seat struct {
	service string
	address netip.AddrPort
}

// Present leaves out the targets whose address a later start of their service
// has taken. One that lost power stays listed for some heartbeats beside the one
// that runs in its place; what is sent to it is turned away, and while a whole
// service starts anew such requests use up what may be sent once more.
func Present(all []Target) []Target {
	latest := map[seat]time.Time{}
	for _, t := range all {
		s := seat{t.Service, t.Address}
		if t.Born.After(latest[s]) {
			latest[s] = t.Born
		}
	}
	return slices.DeleteFunc(all, func(t Target) bool {
		return !t.Born.IsZero() && t.Born.Before(latest[seat{t.Service, t.Address}])
	})
}
