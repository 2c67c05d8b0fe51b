package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/conn/sessn"
)

// retryAfter is the time after which a refused caller is told to retry.
const retryAfter = time.Second

// maxRetryAfter limits the Retry-After of a target that is passed on to a caller.
const maxRetryAfter = time.Minute

// HandleCall handles one call. A call with a ticket runs at most once.
func (p *Proxy) HandleCall(s *sessn.Stream) {
	p.answerPending()
	defer p.answerSent()
	if s.Start.Ticket != nil {
		p.beginOnce(s)
		return
	}
	p.beginRepeatable(s)
}

// beginRepeatable forwards a call that may be repeated, and streams its answer.
func (p *Proxy) beginRepeatable(s *sessn.Stream) {
	if reason := p.admitRepeatable(s.Start); reason != "" {
		p.countCall("refused")
		_ = s.Refuse(sessn.Refusal{Outcome: calls.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter})
		return
	}
	defer p.releaseSlot()
	ctx, cancel := clockwork.WithTimeout(s.Context(), p.Clock, s.Start.Timeout)
	defer cancel()
	if r := p.forward(ctx, s); r != nil {
		p.countCall("failed")
		_ = s.Refuse(*r)
		return
	}
	p.countCall("passed")
}

func (p *Proxy) admitRepeatable(m *sessn.Start) calls.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch fresh.CheckFreshness(p.clockReadingLocked(), m.EchoedReading, p.LedgerLimits.MaxReadingAge) {
	case fresh.Stale:
		return calls.ReasonStaleReading
	case fresh.OtherBoot:
		return calls.ReasonOtherBoot
	}
	if reason := p.refusalReasonLocked(m.Version); reason != "" {
		return reason
	}
	p.acquireSlotLocked()
	return ""
}

// forward sends the call to the target and the answer to the entry. If the answer is
// not complete, it returns the refusal that ends the call.
func (p *Proxy) forward(ctx context.Context, s *sessn.Stream) *sessn.Refusal {
	req, err := p.newTargetRequest(ctx, s)
	if err != nil {
		return &sessn.Refusal{Outcome: calls.OutcomeNotRun, Reason: calls.ReasonTargetUnreachable}
	}
	res, err := p.pooledTransport.RoundTrip(req)
	if err != nil {
		return refusalOfError(ctx, err)
	}
	defer res.Body.Close()
	if reason := p.answerRefusalReason(s.Start, res); reason != "" {
		return &sessn.Refusal{Outcome: calls.OutcomeNotRun, Reason: reason, RetryAfter: retryAfterOf(res)}
	}
	RemoveHopByHopHeaders(res.Header)
	h := sessn.Head{Status: res.StatusCode, Header: res.Header}
	if res.ContentLength >= 0 && res.ContentLength <= sessn.MaxBlockSize {
		return forwardWhole(ctx, s, h, res)
	}
	if err := s.Head(h); err != nil {
		return refusalOfError(ctx, err)
	}
	buf := make([]byte, copyBufferSize)
	if _, err := io.CopyBuffer(onlyWriter{s}, res.Body, buf); err != nil {
		return refusalOfError(ctx, err)
	}
	_ = s.End()
	return nil
}

// forwardWhole sends an answer that fits in one block as a single message.
func forwardWhole(ctx context.Context, s *sessn.Stream, h sessn.Head, res *http.Response) *sessn.Refusal {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return refusalOfError(ctx, err)
	}
	_ = s.Answer(h, body)
	return nil
}

// copyBufferSize is the size in bytes of the buffer through which an answer is copied.
const copyBufferSize = 16 << 10

// onlyWriter hides the methods of a writer other than Write, so that io.CopyBuffer sends
// each block that it reads from the target at once.
type onlyWriter struct{ io.Writer }

// answerRefusalReason returns why an answer of the target may not be forwarded, or an
// empty reason if it may. An engine that is switching versions answers 503, and one
// with a full queue 429. Neither has begun the call, so another target may run it. An
// answer of another version than the requested one would mix two texts.
func (p *Proxy) answerRefusalReason(m *sessn.Start, res *http.Response) calls.Reason {
	if p.serviceKind() != envdoc.KindEngine {
		return ""
	}
	switch res.StatusCode {
	case http.StatusServiceUnavailable:
		return calls.ReasonUnserved
	case http.StatusTooManyRequests:
		return calls.ReasonBusy
	}
	if m.Version != "" && res.Header.Get(ManifestHeader) != string(m.Version) {
		return calls.ReasonOtherVersion
	}
	return ""
}

// retryAfterOf returns the time after which, according to the target, the caller may
// retry.
func retryAfterOf(res *http.Response) time.Duration {
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return retryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

func refusalOfError(ctx context.Context, err error) *sessn.Refusal {
	switch {
	case errors.Is(err, errNotReached):
		return &sessn.Refusal{Outcome: calls.OutcomeNotRun, Reason: calls.ReasonTargetUnreachable, RetryAfter: retryAfter}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &sessn.Refusal{Outcome: calls.OutcomeUnknown, Reason: calls.ReasonTimeout}
	case ctx.Err() != nil:
		return &sessn.Refusal{Outcome: calls.OutcomeUnknown, Reason: calls.ReasonCancelled}
	}
	return &sessn.Refusal{Outcome: calls.OutcomeUnknown, Reason: calls.ReasonTargetBroke}
}

func (p *Proxy) countCall(name string) { p.Metrics.Counter("gateCalls." + name).Inc(1) }
