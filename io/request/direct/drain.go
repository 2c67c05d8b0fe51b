package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/request/place"
)

// Times of a drain.
const (
	// maxDrainNotice is the maximum time for which a draining entry still accepts new
	// requests. The load balancer checks readiness once a second and takes an entry out
	// after two failed checks, so callers keep coming for up to three seconds.
	// drainNoticeShare limits the time to that fraction of the grace period, since
	// requests in flight need the rest.
	maxDrainNotice   = 3500 * time.Millisecond
	drainNoticeShare = 0.45
	// lateDrainStart is how long after the start of a drain the entry begins to refuse
	// requests whose deadline is after the end of the process, however short they may
	// turn out. By then two readiness checks have failed and callers have been sent to
	// other entries, and a stream that begins now may be cut off.
	lateDrainStart = 2900 * time.Millisecond
	// answerReserve is how long before the end of a drain the requests that are still under way
	// are answered. The answers are short.
	answerReserve = 100 * time.Millisecond
)

// reasonStopping is the reason of a request that ends because the process does.
const reasonStopping = "stopping"

// errStopping is the cause with which the contexts of requests end.
var errStopping = errors.New("process is about to end")

// drainTimes holds the times of a drain. From lateFrom on, requests are refused that may last beyond
// answerBy, when all are answered.
type drainTimes struct {
	lateFrom time.Time
	answerBy time.Time
}

// drainNotice returns for how long a draining entry still accepts connections.
func (s *Server) drainNotice() time.Duration {
	return min(maxDrainNotice, time.Duration(drainNoticeShare*float64(s.Rules.GracePeriod)))
}

// mayStopBefore reports whether a request whose body has now been read came late in a drain and has
// a deadline after the end of the process.
func (s *Server) mayStopBefore(q *request) bool {
	l := s.drainTimes.Load()
	return l != nil && s.Clock.Now().After(l.lateFrom) && q.deadline.After(l.answerBy)
}

// stopsBeforeAnswer reports whether the process is expected to end before a target answers.
func (s *Server) stopsBeforeAnswer(v place.Verdict) bool {
	l := s.drainTimes.Load()
	return l != nil && s.Clock.Now().Add(v.ExpectedFirstAnswer).After(l.answerBy)
}

// requestContext returns the context of a request, which ends at its deadline, when the caller
// disconnects, or when the process is about to end.
func (s *Server) requestContext(q *request) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(q.incoming.Context())
	unlink := context.AfterFunc(s.stopping, func() { end(errStopping) })
	ctx, cancel := clockwork.WithDeadline(ctx, s.Clock, q.deadline)
	return ctx, func() {
		unlink()
		cancel()
		end(nil)
	}
}

// Drain makes the entry not ready, keeps serving until the load balancer has had time
// to take it out, and then returns once the requests in flight have ended or ctx ends.
// Shortly before that, requests that are still under way get an error response.
func (s *Server) Drain(ctx context.Context) error {
	s.init()
	notice := s.drainNotice()
	if end, ok := ctx.Deadline(); ok {
		now, answerBy := s.Clock.Now(), end.Add(-answerReserve)
		s.drainTimes.Store(&drainTimes{lateFrom: now.Add(min(lateDrainStart, notice)), answerBy: answerBy})
		timer := s.Clock.AfterFunc(answerBy.Sub(now), s.endRequests)
		defer timer.Stop()
	}
	s.draining.Store(true)
	select {
	case <-s.Clock.After(notice):
	case <-ctx.Done():
	}
	err := s.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) && s.underWay.Load() == 0 {
		// Shutdown looks at the connections twice a second only.
		return nil
	}
	return operr.Wrap("drain", "", err)
}

// failStopping ends a request because the process is about to end.
func (s *Server) failStopping(w http.ResponseWriter, q *request, out responseRelay) {
	q.reason = reasonStopping
	s.fail(w, q, out, drainRetryAfter)
}
