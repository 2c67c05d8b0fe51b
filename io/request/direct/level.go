package direct

import (
	"math"
	"sync"
	"time"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/demand"
	"hawthornferry/core/request/level"
	"hawthornferry/core/request/place"
)

// sharePrecision is the precision of shares in log lines.
const sharePrecision = 1000

// DemandTotals is the demand of all entries for a service as of a time. It is used until
// Until.
type DemandTotals struct {
	Totals level.Totals
	AsOf   time.Time
	Until  time.Time
}

// demandTotals holds the latest totals of each service.
type demandTotals struct {
	mu     sync.Mutex
	latest map[string]DemandTotals
}

func (d *demandTotals) set(service string, t DemandTotals) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.latest == nil {
		d.latest = map[string]DemandTotals{}
	}
	d.latest[service] = t
}

// at returns the totals of a service that are used at the given time, false if the entry uses
// its own demand instead.
func (d *demandTotals) at(now time.Time, service string) (DemandTotals, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, known := d.latest[service]
	return t, known && now.Before(t.Until)
}

// Demand returns this entry's demand for each service whose requests have different
// priorities, and the level of each.
func (s *Server) Demand() (map[string]level.Rates, map[string]level.State) {
	s.init()
	return s.dispatcher.demand()
}

// SetDemandTotals sets the demand of all entries for a service.
func (s *Server) SetDemandTotals(service string, t DemandTotals) {
	s.init()
	s.demandTotals.set(service, t)
	s.dispatcher.setDemandTotals(service, t)
}

// DemandEntries returns the number of entries whose demand for a service is added up, 1 if
// this entry uses only its own.
func (s *Server) DemandEntries(service string) int {
	if t, known := s.demandTotals.at(s.Clock.Now(), service); known {
		return t.Totals.Entries
	}
	return 1
}

// DescribeLevel describes the level of a service for the log, with the shares of the given
// priorities.
func (s *Server) DescribeLevel(service string, state level.State, priorities ...int) *trail.AdmissionLevel {
	out := &trail.AdmissionLevel{Entries: s.DemandEntries(service)}
	for _, p := range priorities {
		out.Shares = append(out.Shares, trail.PriorityShare{Priority: p, Share: math.Round(demand.Share(state, p)*sharePrecision) / sharePrecision})
	}
	now := s.Clock.Now()
	if t, known := s.demandTotals.at(now, service); known {
		out.AgeMS = now.Sub(t.AsOf).Milliseconds()
	}
	return out
}

// recordHeldBack counts a request that the admission level has refused, and returns the level
// for its log line; nil for any other request.
func (s *Server) recordHeldBack(q *request) *trail.AdmissionLevel {
	v := q.progress.verdict
	if v.Decision != place.Refused || v.Reason != place.ReasonLessUrgent {
		return nil
	}
	s.metrics.countHeldBack(q.service.Name, q.rank)
	return s.DescribeLevel(q.service.Name, s.dispatcher.admissionLevels()[q.service.Name], q.rank)
}

// engineQueuePriority returns the priority that the target's own queue is to be told, nil if
// the service has no admission level.
func (s *Server) engineQueuePriority(q *request) *int {
	if !s.dispatcher.hasLevel(q.service.Name) {
		return nil
	}
	// The rank is that by the table of the request, in which the service may have had no level.
	rank := level.Clamp(q.rank)
	return &rank
}

// logImplausible logs once for each service why it has no admission level, although its
// requests differ in priority.
func (s *Server) logImplausible(services map[string]error) {
	logged := map[string]string{}
	for name, err := range services {
		logged[name] = err.Error()
		if s.loggedImplausible[name] != logged[name] {
			s.Log.Record(trail.Decision{Area: trail.AreaAdmission, Action: "levelUnavailable", Service: name, Reason: logged[name]})
		}
	}
	s.loggedImplausible = logged
}
