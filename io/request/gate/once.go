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

// execution is a once-call that was passed to the target. All fields except id and done
// are set before done is closed. answer is nil if there was none or if it was too large
// to store.
type execution struct {
	id calls.ID
	// settledAt is the gate's clock when the call ended.
	settledAt time.Duration
	done      chan struct{}
	state     calls.State
	reason    calls.Reason

	answer *answer
}

// answer is the complete answer to a once-call.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// beginOnce decides about a once-call and sends its answer when there is one.
func (p *Proxy) beginOnce(s *sessn.Stream) {
	m := s.Start
	print := fingerprint(m, s.Body)
	p.mu.Lock()
	reason := p.refusalReasonLocked("")
	unsure := m.Members != p.members
	act := p.ledger.Start(p.now(), calls.StartRequest{Ticket: *m.Ticket, EchoedReading: m.EchoedReading, Fingerprint: print, RefuseReason: reason, MembersDiffer: unsure})
	r := p.executions[m.Ticket.CallID]
	if act.Kind == calls.ActionRun {
		r = &execution{id: m.Ticket.CallID, done: make(chan struct{})}
		p.executions[r.id] = r
		p.acquireSlotLocked()
	}
	p.mu.Unlock()
	p.logDecision(m, act)
	if act.Kind == calls.ActionRefuse {
		_ = s.Refuse(refusalOfAction(act))
		return
	}
	if act.Kind == calls.ActionRun {
		go p.execute(r, s)
	}
	p.answer(s, r, act.Kind != calls.ActionRun)
}

func refusalOfAction(a calls.Action) sessn.Refusal {
	r := sessn.Refusal{Outcome: a.Outcome, Reason: a.Reason}
	if a.Outcome == calls.OutcomeNotRun {
		r.RetryAfter = retryAfter
	}
	return r
}

// fingerprint identifies a request, to detect a key or ticket that is reused for
// another one.
func fingerprint(m *sessn.Start, body []byte) string {
	return m.Method + " " + m.Path + " " + string(chunk.DigestOf(body))
}

// execute passes a call to the target. It isn't cancelled when the caller disconnects:
// a payment that the target has begun can't be undone, and its answer is stored for a
// repeat of the call.
func (p *Proxy) execute(r *execution, s *sessn.Stream) {
	defer p.releaseSlot()
	ctx, cancel := clockwork.WithTimeout(context.Background(), p.Clock, s.Start.Timeout)
	defer cancel()
	a, err := p.sendToTarget(ctx, s)
	r.answer = a
	r.state, r.reason = stateAfter(ctx, a, err)
	p.mu.Lock()
	p.ledger.Settle(p.now(), r.id, r.state)
	p.storeLocked(r)
	p.mu.Unlock()
	p.Log.Record(trail.Decision{
		Area: trail.AreaCall, Action: "settle", Request: s.Start.Request, Service: p.Service,
		Subject: string(r.id), Outcome: string(outcomeOf(r.state)), Reason: string(r.reason),
		Revision: p.Self.Revision.Load(),
	})
	close(r.done)
}

func (p *Proxy) sendToTarget(ctx context.Context, s *sessn.Stream) (*answer, error) {
	req, err := p.newTargetRequest(ctx, s)
	if err != nil {
		return nil, errors.Mark(err, errNotReached)
	}
	res, err := p.onceTransport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, sessn.MaxAnswer+1))
	if err != nil {
		return nil, err
	}
	RemoveHopByHopHeaders(res.Header)
	return &answer{status: res.StatusCode, header: res.Header, body: body}, nil
}

// stateAfter returns how a call ended. A failed dial proves that the target did not
// receive the call. Once it is connected, only a complete answer proves anything.
func stateAfter(ctx context.Context, a *answer, err error) (calls.State, calls.Reason) {
	switch {
	case err == nil && len(a.body) > sessn.MaxAnswer:
		return calls.StateDone, calls.ReasonTooLarge
	case err == nil:
		return calls.StateDone, ""
	case errors.Is(err, errNotReached):
		return calls.StateNever, calls.ReasonTargetUnreachable
	case ctx.Err() != nil:
		return calls.StateBroken, calls.ReasonTimeout
	}
	return calls.StateBroken, calls.ReasonTargetBroke
}

func outcomeOf(s calls.State) calls.Outcome {
	switch s {
	case calls.StateDone:
		return calls.OutcomeDone
	case calls.StateNever:
		return calls.OutcomeNotRun
	default:
		return calls.OutcomeUnknown
	}
}

// storeLocked stores a finished call for callers that repeat it. Over MaxStoredBytes,
// the oldest calls are dropped first. Their records stay in the ledger, so that a call
// whose answer was dropped still never runs again.
func (p *Proxy) storeLocked(r *execution) {
	if r.reason == calls.ReasonTooLarge {
		r.answer = nil
	}
	r.settledAt = p.now()
	p.storedIDs = append(p.storedIDs, r.id)
	p.storedBytes += r.size()
	for p.storedBytes > p.MaxStoredBytes && len(p.storedIDs) > 1 {
		p.dropOldestLocked()
	}
}

// dropOldestLocked drops the oldest stored call.
func (p *Proxy) dropOldestLocked() {
	id := p.storedIDs[0]
	p.storedIDs = p.storedIDs[1:]
	if r := p.executions[id]; r != nil {
		p.storedBytes -= r.size()
		delete(p.executions, id)
	}
}

// expireLocked drops the stored calls and the ledger records that are older than
// LedgerLimits.RecordMaxAge.
func (p *Proxy) expireLocked() {
	now := p.now()
	p.ledger.Expire(now)
	for len(p.storedIDs) > 0 {
		r := p.executions[p.storedIDs[0]]
		if r != nil && now-r.settledAt <= p.LedgerLimits.RecordMaxAge {
			return
		}
		p.dropOldestLocked()
	}
}

func (p *Proxy) updateMetricsLocked() {
	p.Metrics.Gauge("gate.records").Update(float64(p.ledger.Len()))
	p.Metrics.Gauge("gate.keptBytes").Update(float64(p.storedBytes))
	p.Metrics.Gauge("gate.inFlight").Update(float64(p.inFlight))
}

// executionOverhead is the approximate memory for a stored call without its answer's
// body, in bytes.
const executionOverhead = 512

func (r *execution) size() int {
	if r.answer == nil {
		return executionOverhead
	}
	return executionOverhead + len(r.answer.body)
}

// answer waits for the end of r and sends its answer or a refusal. replayed is set if
// the call had been received before. r is nil if the answer is no longer stored.
func (p *Proxy) answer(s *sessn.Stream, r *execution, replayed bool) {
	if r == nil {
		_ = s.Refuse(sessn.Refusal{Outcome: calls.OutcomeDone, Reason: calls.ReasonTooLarge})
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
	_ = s.Answer(sessn.Head{Status: r.answer.status, Header: r.answer.header, Stored: replayed}, r.answer.body)
}

// HandleQuery answers a query. It sends the state, and then the answer if the call is running
// or done.
func (p *Proxy) HandleQuery(s *sessn.Stream, q *sessn.Query) {
	p.answerPending()
	defer p.answerSent()
	p.mu.Lock()
	state := p.ledger.Query(p.now(), calls.QueryRequest{Ticket: q.Ticket, MarkNever: q.Mark, MembersDiffer: q.Members != p.members})
	r := p.executions[q.Ticket.CallID]
	p.mu.Unlock()
	p.Log.Record(trail.Decision{
		Area: trail.AreaCall, Action: "query", Service: p.Service, Subject: string(q.Ticket.CallID),
		Choice: string(state), Revision: p.Self.Revision.Load(),
	})
	open := state == calls.StateRunning || state == calls.StateDone
	if s.Verdict(sessn.Verdict{State: state}, open) != nil || !open {
		return
	}
	p.answer(s, r, false)
}

func (p *Proxy) logDecision(m *sessn.Start, a calls.Action) {
	p.countCall(string(a.Kind))
	p.addMeasures(a)
	p.Log.Record(trail.Decision{
		Area: trail.AreaCall, Action: string(a.Kind), Request: m.Request, Service: p.Service,
		Subject: string(m.Ticket.CallID), Outcome: string(a.Outcome), Reason: string(a.Reason),
		Revision: p.Self.Revision.Load(),
	})
}
