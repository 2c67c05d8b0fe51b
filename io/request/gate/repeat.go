package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/conn/lease"
	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/conn/sessn"
)

// retryAfter is what a refused caller is told to wait.
const retryAfter = time.Second

// maxRetryAfter bounds what a target may ask a caller to wait.
const maxRetryAfter = time.Minute

// Begin serves one call.
func (g *Gate) Begin(s *sessn.Stream) {
	g.hold()
	defer g.answered()
	if s.Start.Ticket != nil {
		g.beginOnce(s)
		return
	}
	g.beginRepeatable(s)
}

// beginRepeatable passes on a call that may be repeated, as its answer comes.
func (g *Gate) beginRepeatable(s *sessn.Stream) {
	if why := g.admit(s.Start); why != "" {
		g.count("refused")
		_ = s.Refuse(sessn.Refusal{Outcome: calls.NotRun, Reason: why, RetryAfter: retryAfter})
		return
	}
	defer g.leave()
	ctx, cancel := clockwork.WithTimeout(s.Context(), g.Clock, s.Start.Timeout)
	defer cancel()
	if r := g.pass(ctx, s); r != nil {
		g.count("failed")
		_ = s.Refuse(*r)
		return
	}
	g.count("passed")
}

func (g *Gate) admit(m *sessn.Start) calls.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch lease.Judge(g.readingLocked(), m.Echo, g.Limits.MaxAge) {
	case lease.Stale:
		return calls.ReasonStale
	case lease.OtherBoot:
		return calls.ReasonBoot
	}
	if why := g.refusalLocked(m.Version); why != "" {
		return why
	}
	g.enterLocked()
	return ""
}

// pass sends the call to the target and its answer to the entry. It returns
// the refusal that ends a call whose answer is not whole.
func (g *Gate) pass(ctx context.Context, s *sessn.Stream) *sessn.Refusal {
	req, err := g.request(ctx, s)
	if err != nil {
		return &sessn.Refusal{Outcome: calls.NotRun, Reason: calls.ReasonTarget}
	}
	res, err := g.plain.RoundTrip(req)
	if err != nil {
		return failed(ctx, err)
	}
	defer res.Body.Close()
	if why := g.unfit(s.Start, res); why != "" {
		return &sessn.Refusal{Outcome: calls.NotRun, Reason: why, RetryAfter: waitOf(res)}
	}
	StripHops(res.Header)
	h := sessn.Head{Status: res.StatusCode, Header: res.Header}
	if res.ContentLength >= 0 && res.ContentLength <= sessn.BlockSize {
		return passWhole(ctx, s, h, res)
	}
	if err := s.Head(h); err != nil {
		return failed(ctx, err)
	}
	buf := make([]byte, copyBlock)
	if _, err := io.CopyBuffer(onlyWriter{s}, res.Body, buf); err != nil {
		return failed(ctx, err)
	}
	_ = s.End()
	return nil
}

// passWhole sends an answer that is known to be small in one message.
func passWhole(ctx context.Context, s *sessn.Stream, h sessn.Head, res *http.Response) *sessn.Refusal {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return failed(ctx, err)
	}
	_ = s.Answer(h, body)
	return nil
}

// copyBlock is the size in bytes of the buffer of one answer.
const copyBlock = 16 << 10

// onlyWriter hides every method but Write, so that each block read from the
// target is sent at once.
type onlyWriter struct{ io.Writer }

// unfit is the reason why an answer of the target may not be passed on, and
// "" when it may. An engine between two versions answers 503 and one with a
// full queue 429: neither has begun, so another target may. An answer of
// another version than the wanted one would mix two texts.
func (g *Gate) unfit(m *sessn.Start, res *http.Response) calls.Reason {
	if g.kind() != envdoc.KindEngine {
		return ""
	}
	switch res.StatusCode {
	case http.StatusServiceUnavailable:
		return calls.ReasonUnserved
	case http.StatusTooManyRequests:
		return calls.ReasonBusy
	}
	if m.Version != "" && res.Header.Get(ManifestHeader) != string(m.Version) {
		return calls.ReasonVersion
	}
	return ""
}

// waitOf is how long the target asks a refused caller to wait.
func waitOf(res *http.Response) time.Duration {
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return retryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

func failed(ctx context.Context, err error) *sessn.Refusal {
	switch {
	case errors.Is(err, errDial):
		return &sessn.Refusal{Outcome: calls.NotRun, Reason: calls.ReasonTarget, RetryAfter: retryAfter}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &sessn.Refusal{Outcome: calls.Unknown, Reason: calls.ReasonTimeout}
	case ctx.Err() != nil:
		return &sessn.Refusal{Outcome: calls.Unknown, Reason: calls.ReasonCancel}
	}
	return &sessn.Refusal{Outcome: calls.Unknown, Reason: calls.ReasonBroken}
}

func (g *Gate) count(name string) { g.Metrics.Counter("gateCalls." + name).Inc(1) }
