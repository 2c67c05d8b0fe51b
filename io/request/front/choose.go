package front

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/route"
)

// errNoTarget is returned when no candidate may get a call.
var errNoTarget = errors.New("no target may get the call")

// reasonLeast is the rule of leastLoaded.
const reasonLeast route.Reason = "leastInFlight"

// leastLoaded picks the target with the fewest calls of this entry.
type leastLoaded struct{}

// Choose picks the target; the first by name where several are alike.
func (leastLoaded) Choose(_ time.Time, r route.Request, candidates []route.Candidate) (route.Choice, error) {
	var best *route.Candidate
	var left []trail.Left
	for i := range candidates {
		c := &candidates[i]
		if why := unfit(r, c); why != "" {
			left = append(left, trail.Left{Name: c.VM.Name, Reason: why})
			continue
		}
		if best == nil || c.InFlight < best.InFlight {
			best = c
		}
	}
	if best == nil {
		return route.Choice{Left: left}, errNoTarget
	}
	return route.Choice{VM: best.VM, Reason: reasonLeast, Left: left}, nil
}

func unfit(r route.Request, c *route.Candidate) string {
	switch {
	case c.Standing != route.StandingReady:
		return string(c.Standing)
	case slices.Contains(r.Avoid, c.VM.Name):
		return "failedThisCall"
	case r.Version != "" && r.Version != c.Serving:
		return "otherVersion"
	}
	return ""
}

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
		d.Reason = err.Error()
	}
	f.Log.Decide(d)
	if err == nil && m == nil {
		err = errNoTarget
	}
	return m, err
}
