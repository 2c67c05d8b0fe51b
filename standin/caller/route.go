package caller

import (
	"net/netip"
	"strings"
)

// Route is a way to the services: through the entries, or past them to one
// stand-in. Chats and Plain are the addresses of each kind of service.
type Route struct {
	Name  string
	Chats []netip.AddrPort
	Plain []netip.AddrPort
	// Direct is set when the addresses are the targets themselves.
	Direct bool
}

// The names of the lanes.
const (
	RouteEntry  = "entry"
	RouteDirect = "direct"
)

// chatURL is where the n-th attempt of a chat goes.
func (l *Route) chatURL(n uint64) string {
	return "http://" + addressFor(l.Chats, n).String() + "/v1/chat/completions"
}

// plainURL is where the n-th attempt of a call to a plain service goes.
func (l *Route) plainURL(n uint64, service, path string) string {
	path = strings.TrimPrefix(path, "/")
	base := "http://" + addressFor(l.Plain, n).String() + "/"
	if l.Direct {
		return base + path
	}
	return base + "v1/services/" + service + "/" + path
}

// ticketURL is where a ticket is asked for.
func (l *Route) ticketURL(n uint64) string {
	return "http://" + addressFor(l.Plain, n).String() + "/v1/tickets"
}

func addressFor(addresses []netip.AddrPort, n uint64) netip.AddrPort {
	return addresses[n%uint64(len(addresses))]
}

// Customer is a simulated customer and its weight among the others.
type Customer struct {
	Name   string
	Weight int
}

// pick returns the customer of the n-th call: a fixed order in which each
// comes as often as its weight.
func (l *LoadTest) customerFor(n uint64) string {
	total := 0
	for _, c := range l.Customers {
		total += c.Weight
	}
	offset := int(n % uint64(total))
	for _, c := range l.Customers {
		if offset < c.Weight {
			return c.Name
		}
		offset -= c.Weight
	}
	return ""
}
