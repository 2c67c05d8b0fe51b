package front

import (
	"context"
	"net/http"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/conn/sessn"
)

// once carries a call that may run at most once.
func (f *Front) once(ctx context.Context, w http.ResponseWriter, k *work) {
	switch {
	case k.ticket != nil:
		f.bound(ctx, w, k, k.ticket.Side)
	case k.key != "":
		f.keyed(ctx, w, k)
	default:
		f.free(ctx, w, k)
	}
}

// free carries a once-call that is tied to no side. When it certainly did
// not run it goes to another target under a new ID.
func (f *Front) free(ctx context.Context, w http.ResponseWriter, k *work) {
	k.bind = calls.BindFree
	last := ending{outcome: calls.NotRun, status: http.StatusServiceUnavailable, retryAfter: retryAfter}
	for n := 1; ; n++ {
		m, err := f.choose(k)
		if err != nil {
			last.reason = or(last.reason, err.Error())
			break
		}
		o := f.tryOnce(ctx, m, k)
		f.pool.release(m)
		if o.answer != nil {
			f.deliver(w, k, o)
			return
		}
		last = o.ending
		if o.outcome != calls.NotRun || n >= f.Limits.Attempts || ctx.Err() != nil {
			break
		}
		if !f.policy.retry(k.req.Service) {
			break
		}
		k.req.Avoid = append(k.req.Avoid, m.client.VM.Name)
	}
	f.fail(w, k, last)
}

// keyed carries a call that its caller named by an idempotency key to the
// key's owner.
func (f *Front) keyed(ctx context.Context, w http.ResponseWriter, k *work) {
	k.bind = calls.BindKey
	k.keyID = calls.KeyID(k.req.Customer, k.req.Service, k.key)
	vm, members, err := calls.Owner(f.Source.Current(), k.req.Service, k.keyID)
	if err != nil {
		f.fail(w, k, ending{outcome: calls.Unknown, status: http.StatusServiceUnavailable, reason: err.Error()})
		return
	}
	k.members = members
	f.bound(ctx, w, k, vm.Name)
}

// bound carries a call that one side alone may run.
func (f *Front) bound(ctx context.Context, w http.ResponseWriter, k *work, side string) {
	m := f.pool.take(side)
	if m == nil {
		e := ending{outcome: calls.Unknown, status: http.StatusBadGateway, reason: "the side is gone"}
		f.fail(w, k, e)
		return
	}
	defer f.pool.release(m)
	f.Log.Decide(trail.Decision{
		Area: trail.AreaRouting, Action: "choose", Request: k.req.ID, Customer: k.req.Customer,
		Service: k.req.Service, Choice: side, Reason: string(k.bind), Revision: f.Self.Revision.Load(),
	})
	o := f.tryOnce(ctx, m, k)
	if o.answer != nil {
		f.deliver(w, k, o)
		return
	}
	f.fail(w, k, o.ending)
}

// onceAnswer is what became of one attempt.
type onceAnswer struct {
	ending
	answer *onceRelay
}

// onceRelay collects the answer of a once-call. It is passed on when it is
// whole, so that a connection that fails in its middle cuts nothing.
type onceRelay struct {
	head *sessn.Head
	body []byte
}

// deliver passes a whole answer on to the caller.
func (f *Front) deliver(w http.ResponseWriter, k *work, o onceAnswer) {
	out := newCallerWriter(w, f.Limits.WriteTimeout)
	copyHeader(w.Header(), o.answer.head.Header)
	w.Header().Set(headerOutcome, string(calls.Done))
	setLength(w.Header(), o.answer.head.Status, len(o.answer.body))
	if o.ticket != "" {
		w.Header().Set(headerTicket, o.ticket)
	}
	f.finish(k, ending{outcome: calls.Done, repeated: o.answer.head.Again})
	w.WriteHeader(o.answer.head.Status)
	_ = out.send(o.answer.body)
}
