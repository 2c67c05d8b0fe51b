package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
)

// answerReserve is how long before the end of a drain the calls that are still under way are
// answered. The answers are short.
const answerReserve = 100 * time.Millisecond

// drainTimes holds the times of a drain. From lateFrom on, calls are refused that may last beyond
// answerBy, when all are answered.
type drainTimes struct {
	lateFrom time.Time
	answerBy time.Time
}

// mayStopBefore reports whether a call came late in a drain and has a deadline after the end of the
// process.
func (s *Server) mayStopBefore(rq *request) bool {
	l := s.drainTimes.Load()
	return l != nil && s.Clock.Now().After(l.lateFrom) && rq.routing.Deadline.After(l.answerBy)
}

// Drain makes the entry report not ready, keeps serving for Limits.DrainNotice so that
// the load balancer stops sending callers, and then stops accepting connections. It
// returns when the calls in flight have finished or ctx ends. Shortly before that, calls
// that are still under way get an error response.
//
// Shutting down at once would close idle connections on which a request is just
// arriving, and its caller would get no response. During the notice such requests are
// served with a Connection: close header.
func (s *Server) Drain(ctx context.Context) error {
	s.init()
	if end, ok := ctx.Deadline(); ok {
		now, answerBy := s.Clock.Now(), end.Add(-answerReserve)
		s.drainTimes.Store(&drainTimes{lateFrom: now.Add(s.Limits.DrainNotice), answerBy: answerBy})
		timer := s.Clock.AfterFunc(answerBy.Sub(now), s.endCalls)
		defer timer.Stop()
	}
	s.draining.Store(true)
	notice := s.Clock.NewTimer(s.Limits.DrainNotice)
	defer notice.Stop()
	select {
	case <-notice.Chan():
	case <-ctx.Done():
	}
	err := s.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) && len(s.callSlots) == 0 {
		// Shutdown looks at the connections twice a second only.
		return nil
	}
	return operr.Wrap("drain", "", err)
}
