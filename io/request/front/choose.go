package front

import (
	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/route"
)

// errNoTarget is returned when no candidate may get a call.
var errNoTarget = errors.New("no target may get the call")

// choose picks a target for k, counts the call at it and logs the decision.
func (f *Front) choose(k *work) (*member, error) {
	f.chooseMu.Lock()
	candidates := f.pool.candidates(k.req.Service)
	choice, err := f.Chooser.Choose(f.Clock.Now(), k.req, candidates)
	var m *member
	if err == nil {
		m = f.pool.take(choice.VM.Name)
	}
	f.chooseMu.Unlock()
	d := trail.Decision{
		Area: trail.AreaRouting, Action: "choose", Request: k.req.ID, Customer: k.req.Customer,
		Service: k.req.Service, Choice: choice.VM.Name, Reason: string(choice.Reason),
		Left: choice.Left, Revision: f.Self.Revision.Load(),
	}
	if err != nil {
		d.Reason, d.Left = err.Error(), leftOf(err)
	}
	f.Log.Decide(d)
	if err == nil && m == nil {
		err = errNoTarget
	}
	return m, err
}

// leftOf returns why each candidate was left out when none could be chosen.
func leftOf(err error) []trail.Left {
	var none *route.NoTarget
	if errors.As(err, &none) {
		return none.Left
	}
	return nil
}
