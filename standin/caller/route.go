package caller

import (
	"net/netip"
	"strings"
)

// Route is a way to reach the services: through the entries, or directly at the
// targets. Chats and Plain are the addresses for calls to model engines and to
// plain services.
type Route struct {
	Name  string
	Chats []netip.AddrPort
	Plain []netip.AddrPort
	// Direct is set when the addresses are those of the targets, which have
	// other paths and accept no tickets or idempotency keys.
	Direct bool
}

// The names of the routes.
const (
	RouteEntry  = "entry"
	RouteDirect = "direct"
)

// chatURL returns the URL of a chat. n selects the address.
func (l *Route) chatURL(n uint64) string {
	return "http://" + addressFor(l.Chats, n).String() + "/v1/chat/completions"
}

// plainURL returns the URL of a call to a plain service. n selects the address.
func (l *Route) plainURL(n uint64, service, path string) string {
	path = strings.TrimPrefix(path, "/")
	base := "http://" + addressFor(l.Plain, n).String() + "/"
	if l.Direct {
		return base + path
	}
	return base + "v1/services/" + service + "/" + path
}

// ticketURL returns the URL at which an entry issues tickets. n selects the
// address.
func (l *Route) ticketURL(n uint64) string {
	return "http://" + addressFor(l.Plain, n).String() + "/v1/tickets"
}

func addressFor(addresses []netip.AddrPort, n uint64) netip.AddrPort {
	return addresses[n%uint64(len(addresses))]
}

// Customer is a simulated customer. Weight is its share of the calls, relative
// to the other customers' weights.
type Customer struct {
	Name   string
	Weight int
}

// customerFor returns the customer of the n-th call. The customers come in a
// fixed order in which each has Weight calls in a row.
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
