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
	"hawthornferry/core/request/route"
	"hawthornferry/io/request/gate"
)

// work is one request of a caller on its way to a target.
type work struct {
	req     route.Request
	kind    envdoc.Kind
	method  string
	path    string
	header  http.Header
	body    []byte
	stream  bool
	timeout time.Duration
	// admitted is when the call was let in, firstByte how long its answer
	// then took to begin, as far as that tells of the target's load.
	admitted  time.Time
	firstByte time.Duration
	// refused, when set, is why a bound call was refused at the door: its side
	// is asked to mark it and does not get it to run.
	refused *ending
	// The rest is for once-calls. ticket is the caller's own, or the one of
	// the latest attempt; key is the caller's idempotency key.
	bind    calls.Binding
	ticket  *calls.Ticket
	key     string
	keyID   calls.ID
	members string
}

// anonymous is the customer of a call that names none.
const anonymous = "anonymous"

// maxName bounds the length of names that callers give.
const maxName = 256

// newWork reads what the headers say of a request to the service.
func (f *Front) newWork(r *http.Request, s envdoc.Service) (*work, error) {
	k := &work{kind: s.Kind, method: r.Method, header: forwarded(r.Header), timeout: s.Timeout}
	k.req = route.Request{
		ID:       uuid.NewString(),
		Customer: or(r.Header.Get(headerCustomer), anonymous),
		Service:  s.Name,
		Priority: route.PriorityInteractive,
	}
	if len(k.req.Customer) > maxName {
		return nil, errors.Newf("%s is over %d characters", headerCustomer, maxName)
	}
	if err := k.readPriority(r.Header.Get(headerPriority)); err != nil {
		return nil, err
	}
	if err := k.readDeadline(r.Header.Get(headerDeadline)); err != nil {
		return nil, err
	}
	k.req.Deadline = f.Clock.Now().Add(k.timeout)
	return k, nil
}

func (k *work) readPriority(s string) error {
	switch p := route.Priority(s); p {
	case "":
		return nil
	case route.PriorityInteractive, route.PriorityBatch:
		k.req.Priority = p
		return nil
	}
	return errors.Newf("%s %q: want %s or %s", headerPriority, s, route.PriorityInteractive, route.PriorityBatch)
}

// readDeadline takes the caller's deadline; the service's timeout bounds it.
func (k *work) readDeadline(s string) error {
	if s == "" {
		return nil
	}
	d, err := time.ParseDuration(s + "ms")
	if err != nil || d <= 0 {
		return errors.Newf("%s %q: want milliseconds above 0", headerDeadline, s)
	}
	k.timeout = min(k.timeout, d)
	return nil
}

// readBinding takes the ticket or the key that the caller has named its call
// by.
func (k *work) readBinding(h http.Header) error {
	k.key = h.Get(headerKey)
	if len(k.key) > maxName {
		return errors.Newf("%s is over %d characters", headerKey, maxName)
	}
	text := h.Get(headerTicket)
	if text == "" {
		return nil
	}
	t, err := calls.DecodeTicket(text)
	if err != nil {
		return err
	}
	if t.Service != k.req.Service {
		return errors.Newf("ticket is for service %s", t.Service)
	}
	// A ticket that named a free call ties whoever uses it again.
	t.Bind = calls.BindTicket
	k.bind, k.ticket = t.Bind, &t
	return nil
}

// own are the headers that are for the entry and not for the target.
var own = []string{headerDeadline, headerTicket, headerResume, headerRequest}

// forwarded returns the headers that the target gets.
func forwarded(h http.Header) http.Header {
	h = h.Clone()
	gate.StripHops(h)
	for _, name := range own {
		h.Del(name)
	}
	return h
}

// safe are the methods that change nothing by their definition.
var safe = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

// repeatable reports whether a call may run more than once: by its method,
// or because the document lists it. A pattern's path may end in "*".
func repeatable(s envdoc.Service, method, path string) bool {
	if slices.Contains(safe, method) {
		return true
	}
	path, _, _ = strings.Cut(path, "?")
	return slices.ContainsFunc(s.Repeatable, func(p string) bool {
		m, want, ok := strings.Cut(p, " ")
		return ok && m == method && matches(strings.TrimSpace(want), path)
	})
}

func matches(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

// unsentOutcome is the outcome of a call that this entry never sent.
func (k *work) unsentOutcome() calls.Outcome {
	if k.ticket != nil || k.key != "" {
		return calls.Unknown
	}
	return calls.NotRun
}

// began notes the first byte of an answer. That of a whole chat comes with
// its last token and says nothing of the wait before the first.
func (k *work) began(now time.Time) {
	if k.firstByte > 0 || (k.kind == envdoc.KindEngine && !k.stream) {
		return
	}
	k.firstByte = now.Sub(k.admitted)
}

// ending is how a request ended.
type ending struct {
	outcome    calls.Outcome
	reason     string
	status     int
	retryAfter time.Duration
	ticket     string
	// repeated is set for a call that had come before, refused for one that
	// was refused at the door.
	repeated bool
	refused  bool
}

// finish counts and logs the end of a request.
func (f *Front) finish(k *work, e ending) {
	f.outcomes.add(outcomeKey{customer: k.req.Customer, service: k.req.Service, outcome: e.outcome}, e)
	f.measure(k, e)
	d := trail.Decision{
		Area: trail.AreaCall, Action: "answer", Request: k.req.ID, Customer: k.req.Customer,
		Service: k.req.Service, Outcome: string(e.outcome), Reason: e.reason,
		Revision: f.Self.Revision.Load(),
	}
	if k.ticket != nil {
		d.Subject, d.Choice = string(k.ticket.Call), k.ticket.Side
	}
	f.Log.Decide(d)
}

// fail ends a request without the target's answer.
func (f *Front) fail(w http.ResponseWriter, k *work, e ending) {
	f.finish(k, e)
	Problem{
		Status: e.status, Detail: e.reason, Outcome: e.outcome, RequestID: k.req.ID,
		Service: k.req.Service, Ticket: e.ticket, RetryAfter: e.retryAfter,
	}.write(w)
}

// gaveUp is the ending of a call whose deadline has passed or whose caller
// has left.
func gaveUp(ctx context.Context, o calls.Outcome) ending {
	e := ending{
		outcome: o, reason: string(calls.ReasonTimeout),
		status: http.StatusGatewayTimeout, retryAfter: retryAfter,
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		e.reason = string(calls.ReasonCancel)
	}
	return e
}
