package front

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/request/picker"
	"hawthornferry/io/request/gate"
)

// request is a caller's request, with what is needed to run it at a target.
type request struct {
	routing picker.Request
	kind    envdoc.ServiceKind
	method  string
	path    string
	header  http.Header
	body    []byte
	stream  bool
	timeout time.Duration
	// admittedAt is when the call was admitted, and timeToFirstByte the time from then
	// to the start of the answer. It is not set if it would say nothing about the
	// target's load.
	admittedAt      time.Time
	timeToFirstByte time.Duration
	// refused is set if a bound call was refused before it was sent. Its side is then
	// queried, and marks the call as never to run if it has no record of it, but is not
	// asked to run it.
	refused *result
	// The fields below are for once-calls. ticket is the one that the caller sent or
	// the one of the latest attempt. keyMembers are the members from which the owner of
	// idempotencyKey was computed.
	binding        calls.Binding
	ticket         *calls.Ticket
	idempotencyKey string
	keyCallID      calls.ID
	keyMembers     string
}

// anonymousCustomer is the customer of calls without a customer header.
const anonymousCustomer = "anonymous"

// maxNameLength limits the length of customer names and idempotency keys, in bytes.
const maxNameLength = 256

// newRequest returns the request for a call to the service, as described by its
// headers.
func (s *Server) newRequest(r *http.Request, service envdoc.Service) (*request, error) {
	rq := &request{kind: service.Kind, method: r.Method, header: forwardedHeader(r.Header), timeout: service.Timeout}
	rq.routing = picker.Request{
		ID:       uuid.NewString(),
		Customer: valueOr(r.Header.Get(headerCustomer), anonymousCustomer),
		Service:  service.Name,
		Priority: picker.PriorityInteractive,
	}
	if len(rq.routing.Customer) > maxNameLength {
		return nil, errors.Newf("%s is over %d characters", headerCustomer, maxNameLength)
	}
	if err := rq.parsePriority(r.Header.Get(headerPriority)); err != nil {
		return nil, err
	}
	if err := rq.parseDeadline(r.Header.Get(headerDeadlineMs)); err != nil {
		return nil, err
	}
	rq.routing.Deadline = s.Clock.Now().Add(rq.timeout)
	return rq, nil
}

func (rq *request) parsePriority(s string) error {
	switch p := picker.Priority(s); p {
	case "":
		return nil
	case picker.PriorityInteractive, picker.PriorityBatch:
		rq.routing.Priority = p
		return nil
	}
	return errors.Newf("%s %q: want %s or %s", headerPriority, s, picker.PriorityInteractive, picker.PriorityBatch)
}

// parseDeadline reads the caller's deadline. The service's timeout is the upper limit.
func (rq *request) parseDeadline(s string) error {
	if s == "" {
		return nil
	}
	d, err := time.ParseDuration(s + "ms")
	if err != nil || d <= 0 {
		return errors.Newf("%s %q: want milliseconds above 0", headerDeadlineMs, s)
	}
	rq.timeout = min(rq.timeout, d)
	return nil
}

// parseBinding reads the idempotency key and the ticket of a once-call.
func (rq *request) parseBinding(h http.Header) error {
	rq.idempotencyKey = h.Get(headerIdempotencyKey)
	if len(rq.idempotencyKey) > maxNameLength {
		return errors.Newf("%s is over %d characters", headerIdempotencyKey, maxNameLength)
	}
	text := h.Get(headerTicket)
	if text == "" {
		return nil
	}
	t, err := calls.DecodeTicket(text)
	if err != nil {
		return err
	}
	if t.Service != rq.routing.Service {
		return errors.Newf("ticket is for service %s", t.Service)
	}
	// The ticket may also be one that the response to a free call carried. From then on
	// the call is bound, as it may reach the side more than once.
	t.Binding = calls.BindTicket
	rq.binding, rq.ticket = t.Binding, &t
	return nil
}

// entryHeaders are the headers that the entry interprets and does not forward.
var entryHeaders = []string{headerDeadlineMs, headerTicket, headerResumeFrom, headerRequestID}

// forwardedHeader returns the headers to send to the target.
func forwardedHeader(h http.Header) http.Header {
	h = h.Clone()
	gate.RemoveHopByHopHeaders(h)
	for _, name := range entryHeaders {
		h.Del(name)
	}
	return h
}

// safeMethods are the HTTP methods that by definition change no state.
var safeMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

// isRepeatable reports whether a call may run more than once, either by its method or
// because the document lists it. The path of a listed pattern may end in "*", which
// matches any suffix.
func isRepeatable(s envdoc.Service, method, path string) bool {
	if slices.Contains(safeMethods, method) {
		return true
	}
	path, _, _ = strings.Cut(path, "?")
	return slices.ContainsFunc(s.Repeatable, func(p string) bool {
		m, want, ok := strings.Cut(p, " ")
		return ok && m == method && matchesPattern(strings.TrimSpace(want), path)
	})
}

func matchesPattern(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

// unsentOutcome is the outcome of a call that this entry has not sent. A bound call may
// have run through another entry.
func (rq *request) unsentOutcome() calls.Outcome {
	if rq.ticket != nil || rq.idempotencyKey != "" {
		return calls.OutcomeUnknown
	}
	return calls.OutcomeNotRun
}

// recordFirstByte records when the answer began. It ignores chats that are not
// streamed: their answer begins only once the last token is generated, so its time says
// nothing about the wait for the first one.
func (rq *request) recordFirstByte(now time.Time) {
	if rq.timeToFirstByte > 0 || (rq.kind == envdoc.KindEngine && !rq.stream) {
		return
	}
	rq.timeToFirstByte = now.Sub(rq.admittedAt)
}

// result is what the caller is told about its request, and what is counted and logged.
type result struct {
	outcome    calls.Outcome
	reason     string
	status     int
	retryAfter time.Duration
	ticket     string
	// repeated is set for a call that had been received before and did not run again,
	// refusedAtAdmission for one that admission refused.
	repeated           bool
	refusedAtAdmission bool
}

// recordResult counts and logs the result of a request.
func (s *Server) recordResult(rq *request, res result) {
	s.outcomes.add(outcomeKey{customer: rq.routing.Customer, service: rq.routing.Service, outcome: res.outcome}, res)
	s.addMeasures(rq, res)
	d := trail.Decision{
		Area: trail.AreaCall, Action: "answer", Request: rq.routing.ID, Customer: rq.routing.Customer,
		Service: rq.routing.Service, Outcome: string(res.outcome), Reason: res.reason,
		Revision: s.Self.Revision.Load(),
	}
	if rq.ticket != nil {
		d.Subject, d.Choice = string(rq.ticket.CallID), rq.ticket.Side
	}
	s.Log.Record(d)
}

// writeFailure records a request that ends without the target's answer, and sends the
// error response.
func (s *Server) writeFailure(w http.ResponseWriter, rq *request, res result) {
	s.recordResult(rq, res)
	Problem{
		Status: res.status, Detail: res.reason, Outcome: res.outcome, RequestID: rq.routing.ID,
		Service: rq.routing.Service, Ticket: res.ticket, RetryAfter: res.retryAfter,
	}.write(w)
}

// interruptedResult is the result of a call whose deadline has passed or whose caller
// has disconnected.
func interruptedResult(ctx context.Context, o calls.Outcome) result {
	res := result{
		outcome: o, reason: string(calls.ReasonTimeout),
		status: http.StatusGatewayTimeout, retryAfter: retryAfter,
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		res.reason = string(calls.ReasonCancelled)
	}
	return res
}
