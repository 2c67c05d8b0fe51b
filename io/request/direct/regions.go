package direct

import (
	"strings"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/table"
)

// allowedRegions returns the regions in which a request may be served: those that both its
// route and its customer allow. The current configuration decides, even if the request was
// accepted under an earlier one. A route or customer that it no longer has keeps its
// earlier regions.
func (s *Server) allowedRegions(q *request) table.AllowedRegions {
	ofRoute, ofCustomer := q.route.Regions, q.customerRegions
	if t := s.Source.Current().Table; t != nil && t != q.facts.Table {
		if route, ok := matchTable(t, q); ok {
			ofRoute = route.Regions
		}
		if c, ok := t.CustomerByKey(q.call.APIKey); ok && q.customer != "" {
			ofCustomer = c.Regions
		}
	}
	return ofRoute.Intersect(ofCustomer)
}

// matchTable returns the route of a request in a table.
func matchTable(t *table.Table, q *request) (table.Route, bool) {
	path, _, _ := strings.Cut(q.target, "?")
	return t.Match(hostOf(q.incoming), path)
}

// mayBeServedAt reports whether a target lies in a region in which the request may be
// served.
func (s *Server) mayBeServedAt(q *request, t facts.Target) bool {
	return s.allowedRegions(q).Allows(s.Placer.Regions[t.Zone])
}
