package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/sessn"
)

// run is one once-call that was handed to the target. Its fields but done
// are set before done is closed; answer is nil when it is not kept.
type run struct {
	id calls.ID
	// at is the gate's clock when the call was settled.
	at     time.Duration
	done   chan struct{}
	state  calls.State
	reason calls.Reason

	answer *answer
}

// answer is the whole answer of a once-call.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// beginOnce decides on a once-call and sends its answer when it is there.
func (g *Gate) beginOnce(s *sessn.Stream) {
	m := s.Start
	print := fingerprint(m, s.Body)
	g.mu.Lock()
	why := g.refusalLocked("")
	unsure := m.Members != g.members
	act := g.ledger.Start(g.now(), calls.Start{Ticket: *m.Ticket, Echo: m.Echo, Print: print, Refuse: why, Unsure: unsure})
	r := g.runs[m.Ticket.Call]
	if act.Act == calls.ActRun {
		r = &run{id: m.Ticket.Call, done: make(chan struct{})}
		g.runs[r.id] = r
		g.enterLocked()
	}
	g.mu.Unlock()
	g.note(m, act)
	if act.Act == calls.ActRefuse {
		_ = s.Refuse(refusalOf(act))
		return
	}
	if act.Act == calls.ActRun {
		go g.execute(r, s)
	}
	g.answer(s, r, act.Act != calls.ActRun)
}

func refusalOf(a calls.Action) sessn.Refusal {
	r := sessn.Refusal{Outcome: a.Outcome, Reason: a.Reason}
	if a.Outcome == calls.NotRun {
		r.RetryAfter = retryAfter
	}
	return r
}

// fingerprint identifies a request, so that a key or ticket used for another
// one is noticed.
func fingerprint(m *sessn.Start, body []byte) string {
	return m.Method + " " + m.Path + " " + string(chunk.Sum(body))
}

// execute hands a call to the target. It does not end with its caller: a
// fee that is being taken is taken, and its answer kept.
func (g *Gate) execute(r *run, s *sessn.Stream) {
	defer g.leave()
	ctx, cancel := clockwork.WithTimeout(context.Background(), g.Clock, s.Start.Timeout)
	defer cancel()
	a, err := g.exchange(ctx, s)
	r.answer = a
	r.state, r.reason = settled(ctx, a, err)
	g.mu.Lock()
	g.ledger.Settle(g.now(), r.id, r.state)
	g.keepLocked(r)
	g.mu.Unlock()
	g.Log.Decide(trail.Decision{
		Area: trail.AreaCall, Action: "settle", Request: s.Start.Request, Service: g.Service,
		Subject: string(r.id), Outcome: string(outcomeOf(r.state)), Reason: string(r.reason),
		Revision: g.Self.Revision.Load(),
	})
	close(r.done)
}

func (g *Gate) exchange(ctx context.Context, s *sessn.Stream) (*answer, error) {
	req, err := g.request(ctx, s)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	res, err := g.once.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, sessn.MaxAnswer+1))
	if err != nil {
		return nil, err
	}
	StripHops(res.Header)
	return &answer{status: res.StatusCode, header: res.Header, body: body}, nil
}

// settled tells how a call ended. Only a failed dial proves that the target
// did not hear of it; after that, nothing but its whole answer proves
// anything.
func settled(ctx context.Context, a *answer, err error) (calls.State, calls.Reason) {
	switch {
	case err == nil && len(a.body) > sessn.MaxAnswer:
		return calls.StateDone, calls.ReasonTooLarge
	case err == nil:
		return calls.StateDone, ""
	case errors.Is(err, errDial):
		return calls.StateNever, calls.ReasonTarget
	case ctx.Err() != nil:
		return calls.StateBroken, calls.ReasonTimeout
	}
	return calls.StateBroken, calls.ReasonBroken
}

func outcomeOf(s calls.State) calls.Outcome {
	switch s {
	case calls.StateDone:
		return calls.Done
	case calls.StateNever:
		return calls.NotRun
	default:
		return calls.Unknown
	}
}

// keepLocked holds a settled call for those who ask again. The oldest
// answers go first when their bytes pass the bound; the ledger's records
// stay, so a call whose answer is gone still never runs again.
func (g *Gate) keepLocked(r *run) {
	if r.reason == calls.ReasonTooLarge {
		r.answer = nil
	}
	r.at = g.now()
	g.kept = append(g.kept, r.id)
	g.keptSize += r.size()
	for g.keptSize > g.MaxKept && len(g.kept) > 1 {
		g.dropLocked()
	}
}

// dropLocked drops the oldest held call.
func (g *Gate) dropLocked() {
	id := g.kept[0]
	g.kept = g.kept[1:]
	if r := g.runs[id]; r != nil {
		g.keptSize -= r.size()
		delete(g.runs, id)
	}
}

// forgetLocked drops the held calls and the records that have passed their
// age.
func (g *Gate) forgetLocked() {
	now := g.now()
	g.ledger.Expire(now)
	for len(g.kept) > 0 {
		r := g.runs[g.kept[0]]
		if r != nil && now-r.at <= g.Limits.Keep {
			return
		}
		g.dropLocked()
	}
}

func (g *Gate) measureLocked() {
	g.Metrics.Gauge("gate.records").Update(float64(g.ledger.Len()))
	g.Metrics.Gauge("gate.keptBytes").Update(float64(g.keptSize))
	g.Metrics.Gauge("gate.inFlight").Update(float64(g.inFlight))
}

// recordSize is what a held call takes beside its answer, in bytes, roughly.
const recordSize = 512

func (r *run) size() int {
	if r.answer == nil {
		return recordSize
	}
	return recordSize + len(r.answer.body)
}

// answer sends what became of r once it is known. again tells that the call
// had come before.
func (g *Gate) answer(s *sessn.Stream, r *run, again bool) {
	if r == nil {
		_ = s.Refuse(sessn.Refusal{Outcome: calls.Done, Reason: calls.ReasonTooLarge})
		return
	}
	select {
	case <-r.done:
	case <-s.Context().Done():
		return
	}
	if r.state != calls.StateDone || r.answer == nil {
		_ = s.Refuse(sessn.Refusal{Outcome: outcomeOf(r.state), Reason: r.reason})
		return
	}
	_ = s.Answer(sessn.Head{Status: r.answer.status, Header: r.answer.header, Again: again}, r.answer.body)
}

// Ask answers a query: the state first, then the answer when there is or
// will be one.
func (g *Gate) Ask(s *sessn.Stream, q *sessn.Query) {
	g.hold()
	defer g.answered()
	g.mu.Lock()
	state := g.ledger.Query(g.now(), calls.Query{Ticket: q.Ticket, Mark: q.Mark, Unsure: q.Members != g.members})
	r := g.runs[q.Ticket.Call]
	g.mu.Unlock()
	g.Log.Decide(trail.Decision{
		Area: trail.AreaCall, Action: "query", Service: g.Service, Subject: string(q.Ticket.Call),
		Choice: string(state), Revision: g.Self.Revision.Load(),
	})
	open := state == calls.StateRunning || state == calls.StateDone
	if s.Verdict(sessn.Verdict{State: state}, open) != nil || !open {
		return
	}
	g.answer(s, r, false)
}

func (g *Gate) note(m *sessn.Start, a calls.Action) {
	g.count(string(a.Act))
	g.measure(a)
	g.Log.Decide(trail.Decision{
		Area: trail.AreaCall, Action: string(a.Act), Request: m.Request, Service: g.Service,
		Subject: string(m.Ticket.Call), Outcome: string(a.Outcome), Reason: string(a.Reason),
		Revision: g.Self.Revision.Load(),
	})
}
