package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/conn/sessn"
)

// repeat carries a call that may run more than once: a failed attempt goes
// to another target, within the bounds of attempts and of the retry budget.
func (f *Front) repeat(ctx context.Context, w http.ResponseWriter, k *work) {
	rl := f.newRelay(w, k)
	last := ending{outcome: calls.NotRun, status: http.StatusServiceUnavailable, retryAfter: retryAfter}
	for n := 1; ; n++ {
		m, err := f.choose(k)
		if err != nil {
			last.reason = or(last.reason, err.Error())
			break
		}
		err = f.tryRepeat(ctx, m, k, rl)
		f.pool.release(m)
		if err == nil {
			f.finish(k, ending{outcome: calls.Done})
			return
		}
		last = endingOf(ctx, err, last)
		if n >= f.Limits.Attempts || !f.goOn(ctx, k, rl, m, err) {
			break
		}
	}
	f.endRepeat(w, k, rl, last)
}

func (f *Front) newRelay(w http.ResponseWriter, k *work) relay {
	out := newCallerWriter(w, f.Limits.WriteTimeout)
	if k.stream {
		return newEventRelay(out)
	}
	return &wholeRelay{out: out}
}

// goOn decides whether a failed attempt is followed by another, and prepares
// it.
func (f *Front) goOn(ctx context.Context, k *work, rl relay, m *member, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errCaller) || !rl.possible() {
		return false
	}
	if !f.policy.retry(k.req.Service) {
		return false
	}
	k.req.Avoid = append(k.req.Avoid, m.client.VM.Name)
	version, tokens := rl.resume()
	k.req.Version = version
	k.header.Del(headerResume)
	if tokens > 0 {
		k.header.Set(headerResume, strconv.Itoa(tokens))
	}
	f.Log.Decide(trail.Decision{
		Area: trail.AreaCall, Action: "retry", Request: k.req.ID, Customer: k.req.Customer,
		Service: k.req.Service, Subject: m.client.VM.Name, Reason: err.Error(),
		Revision: f.Self.Revision.Load(),
	})
	return true
}

// endRepeat tells the caller that its answer will not be whole. Once a part
// of it has left, only a broken connection says so: an orderly end would pass
// for the end of the answer.
func (f *Front) endRepeat(w http.ResponseWriter, k *work, rl relay, e ending) {
	if !rl.begun() {
		f.fail(w, k, e)
		return
	}
	e.outcome = calls.Unknown
	f.finish(k, e)
	panic(http.ErrAbortHandler)
}

// refusedError is a refusal of the side.
type refusedError struct{ refusal *sessn.Refusal }

func (e *refusedError) Error() string { return "side refused: " + string(e.refusal.Reason) }

func endingOf(ctx context.Context, err error, last ending) ending {
	if ctx.Err() != nil {
		return gaveUp(ctx, calls.Unknown)
	}
	var refused *refusedError
	if errors.As(err, &refused) {
		return endingOfRefusal(refused.refusal)
	}
	if errors.Is(err, sessn.ErrUnsent) {
		last.reason = err.Error()
		return last
	}
	return ending{
		outcome: calls.Unknown, reason: err.Error(),
		status: http.StatusBadGateway, retryAfter: retryAfter,
	}
}

// endingOfRefusal tells a caller why the side refused. Asking again is safe
// for a call that did not run, and for one that may be repeated.
func endingOfRefusal(r *sessn.Refusal) ending {
	e := ending{outcome: r.Outcome, reason: string(r.Reason), retryAfter: max(r.RetryAfter, retryAfter)}
	switch {
	case r.Reason == calls.ReasonTimeout:
		e.status = http.StatusGatewayTimeout
	case r.Outcome == calls.NotRun:
		e.status = http.StatusServiceUnavailable
	default:
		e.status = http.StatusBadGateway
	}
	return e
}

// tryRepeat makes one attempt. It returns nil when the caller has got the
// whole answer.
func (f *Front) tryRepeat(ctx context.Context, m *member, k *work, rl relay) error {
	start, err := f.start(ctx, m, k)
	if err != nil {
		return err
	}
	start.Version = k.req.Version
	call, err := m.client.Start(start, k.body)
	if err != nil {
		return err
	}
	ended := false
	defer func() { call.Close(ended) }()
	pace := newPacer(rl)
	for {
		msg, err := call.Next(ctx)
		if err != nil {
			return err
		}
		switch msg := msg.(type) {
		case *sessn.Head:
			if err = rl.head(msg); err == nil {
				f.noteStream(k, m, rl, msg)
			}
		case *sessn.Data:
			k.began(f.Clock.Now())
			pace.data(f.Clock.Now())
			err = rl.data(msg.Data)
		case *sessn.Refusal:
			ended = true
			return &refusedError{msg}
		case *sessn.End:
			ended = true
			f.policy.paced(m.client.VM.Name, pace)
			return rl.end()
		}
		if err != nil {
			return err
		}
	}
}

// start builds the message that opens a call at the member's side.
func (f *Front) start(ctx context.Context, m *member, k *work) (*sessn.Start, error) {
	echo, ok := m.client.Reading()
	if !ok {
		return nil, sessn.ErrUnsent
	}
	left := k.timeout
	if d, ok := ctx.Deadline(); ok {
		left = d.Sub(f.Clock.Now())
	}
	return &sessn.Start{
		Request: k.req.ID,
		Echo:    echo,
		Method:  k.method,
		Path:    k.path,
		Header:  k.header,
		Timeout: max(left, time.Millisecond),
	}, nil
}
