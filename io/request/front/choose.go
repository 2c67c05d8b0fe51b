package front

import (
	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/picker"
)

// errNoTarget is returned when no candidate may receive the call.
var errNoTarget = errors.New("no target may get the call")

// choose picks a target for rq, counts the call as in flight at that target and logs
// the decision. The caller must release the returned member.
func (s *Server) choose(rq *request) (*member, error) {
	s.chooseMu.Lock()
	candidates := s.pool.candidates(rq.routing.Service)
	choice, err := s.Chooser.Choose(s.Clock.Now(), rq.routing, candidates)
	var m *member
	if err == nil {
		m = s.pool.acquire(choice.VM.Name)
	}
	s.chooseMu.Unlock()
	d := trail.Decision{
		Area: trail.AreaRouting, Action: "choose", Request: rq.routing.ID, Customer: rq.routing.Customer,
		Service: rq.routing.Service, Choice: choice.VM.Name, Reason: string(choice.Reason),
		Excluded: choice.Excluded, Revision: s.Self.Revision.Load(),
	}
	if err != nil {
		d.Reason, d.Excluded = err.Error(), leftOf(err)
	}
	s.Log.Record(d)
	if err == nil && m == nil {
		err = errNoTarget
	}
	return m, err
}

// leftOf returns the rejected candidates and the reasons from a *picker.NoTargetError error.
func leftOf(err error) []trail.Exclusion {
	var none *picker.NoTargetError
	if errors.As(err, &none) {
		return none.Excluded
	}
	return nil
}
