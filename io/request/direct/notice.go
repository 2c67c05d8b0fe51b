package direct

import (
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
)

// NoticeCounts counts the targets by what they say of themselves.
func (s *Server) NoticeCounts() place.NoticeCounts {
	s.init()
	return s.dispatcher.noticeCounts()
}

// recordNotice tells the placer what the head of a response says of its target, and logs
// what is new.
func (s *Server) recordNotice(q *request, x *exchange, reply ReplyHeaders) {
	said := place.Notice{Leaving: reply.Leaving, RetryAfter: reply.RetryAfter}
	if said == (place.Notice{}) {
		return
	}
	news := s.dispatcher.recordNotice(x.target, said, x.openedAt)
	d := trail.Decision{Area: trail.AreaAdmission, Request: q.call.ID, Service: q.service.Name, Choice: x.target.ID}
	if news.Leaving {
		d.Action = trail.ActionTargetLeaving
		s.logNotice(d)
	}
	if news.RetryAfter > 0 {
		d.Action, d.RetryAfterMS = trail.ActionTargetBackoff, news.RetryAfter.Milliseconds()
		s.logNotice(d)
	}
}

func (s *Server) logNotice(d trail.Decision) {
	s.metrics.countNotice(d.Action)
	s.Log.Record(d)
}

// notRunReason returns why a target has not run a request, as far as its response says.
func notRunReason(status int, backoff time.Duration) error {
	if backoff > 0 {
		return errors.Newf("status %d, retry after %s", status, backoff)
	}
	return errors.Newf("status %d", status)
}
