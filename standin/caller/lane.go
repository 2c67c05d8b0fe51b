package caller

import (
	"net/netip"
	"strings"
)

// Lane is a way to the services: through the entries, or past them to one
// stand-in. Chats and Plain are the addresses of each kind of service.
type Lane struct {
	Name  string
	Chats []netip.AddrPort
	Plain []netip.AddrPort
	// Past is set when the addresses are the targets themselves.
	Past bool
}

// The names of the lanes.
const (
	LaneEntry  = "entry"
	LaneDirect = "direct"
)

// chatURL is where the n-th attempt of a chat goes.
func (l *Lane) chatURL(n uint64) string {
	return "http://" + pick(l.Chats, n).String() + "/v1/chat/completions"
}

// plainURL is where the n-th attempt of a call to a plain service goes.
func (l *Lane) plainURL(n uint64, service, path string) string {
	path = strings.TrimPrefix(path, "/")
	base := "http://" + pick(l.Plain, n).String() + "/"
	if l.Past {
		return base + path
	}
	return base + "v1/services/" + service + "/" + path
}

// ticketURL is where a ticket is asked for.
func (l *Lane) ticketURL(n uint64) string {
	return "http://" + pick(l.Plain, n).String() + "/v1/tickets"
}

func pick(addresses []netip.AddrPort, n uint64) netip.AddrPort {
	return addresses[n%uint64(len(addresses))]
}

// Customer is a simulated customer and its weight among the others.
type Customer struct {
	Name   string
	Weight int
}

// pick returns the customer of the n-th call: a fixed order in which each
// comes as often as its weight.
func (l *Load) pick(n uint64) string {
	total := 0
	for _, c := range l.Customers {
		total += c.Weight
	}
	at := int(n % uint64(total))
	for _, c := range l.Customers {
		if at < c.Weight {
			return c.Name
		}
		at -= c.Weight
	}
	return ""
}
