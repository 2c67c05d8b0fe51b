package direct

import (
	"time"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/budget"
)

// What becomes of a retry, as counted in the metrics.
const (
	retryGranted  = "granted"
	retryArrived  = "arrived"
	retryReleased = "released"
	retryDenied   = "denied"
)

// heldRetries is what a request holds of the retry budget of its service. It is guarded by
// Server.budgetMu.
type heldRetries struct {
	// granted is the number of retries that have not been sent yet, and sent the number of
	// those that may not have arrived yet.
	granted int
	sent    int
	// inTransit is set once an attempt was given up before its target responded. The
	// target may read it until the deadline of the request.
	inTransit bool
	// ended is set at the end of the request.
	ended bool
	// denied is the state of the budget when it last allowed no retry, nil if it never
	// did.
	denied *trail.RetryBudget
}

func newRetryBudgetRecord(u budget.Usage) *trail.RetryBudget {
	return &trail.RetryBudget{
		Requests: u.Requests, Arrived: u.Arrived, Outstanding: u.Outstanding, Starting: u.Starting, AgeMS: u.Age.Milliseconds(),
	}
}

// deniedRetry returns the state of the budget when it last allowed the request no retry.
func (s *Server) deniedRetry(q *request) *trail.RetryBudget {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return q.retries.denied
}

// takeRetry reports whether the retry budget allows another attempt at the request. If so,
// the request holds a retry until it has arrived at a target.
func (s *Server) takeRetry(q *request) bool {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	if q.retries.ended {
		return false
	}
	b := s.retryBudget(q.service.Name)
	if now := s.Clock.Now(); !b.Reserve(now) {
		q.retries.denied = newRetryBudgetRecord(b.Usage(now))
		s.metrics.countRetries(retryDenied, 1)
		return false
	}
	q.retries.granted++
	s.metrics.countRetries(retryGranted, 1)
	return true
}

// holdsRetry reports whether the request holds a retry that has not been sent.
func (s *Server) holdsRetry(q *request) bool {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return q.retries.granted > 0
}

// attemptSent records that an attempt is about to be written to its target.
func (s *Server) attemptSent(q *request) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	if q.retries.granted > 0 {
		q.retries.granted--
		q.retries.sent++
	}
}

// attemptAnswered records that a target has responded to the last attempt that was sent.
func (s *Server) attemptAnswered(q *request) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	if !q.retries.inTransit {
		s.settleSent(q)
	}
}

// attemptGivenUp records that an attempt was ended before its target responded.
func (s *Server) attemptGivenUp(q *request) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	q.retries.inTransit = true
}

// releaseRetries gives back the retries that were not sent.
func (s *Server) releaseRetries(q *request) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.releaseGranted(q)
}

// endRetries is called at the end of a request. Retries that a target may still read count
// as outstanding until the deadline, after which targets no longer work on the request.
func (s *Server) endRetries(q *request) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	q.retries.ended = true
	s.releaseGranted(q)
	left := q.deadline.Sub(s.Clock.Now())
	if !q.retries.inTransit || left <= 0 {
		s.settleSent(q)
		return
	}
	if q.retries.sent > 0 {
		s.settleAfter(q, left)
	}
}

func (s *Server) settleAfter(q *request, d time.Duration) {
	s.Clock.AfterFunc(d, func() {
		s.budgetMu.Lock()
		defer s.budgetMu.Unlock()
		s.settleSent(q)
	})
}

// settleSent counts the retries that were sent as arrived. The caller must hold budgetMu.
func (s *Server) settleSent(q *request) {
	n := q.retries.sent
	if n == 0 {
		return
	}
	s.retryBudget(q.service.Name).Arrived(s.Clock.Now(), n)
	s.metrics.countRetries(retryArrived, n)
	q.retries.sent = 0
}

// releaseGranted gives back the retries that were not sent. The caller must hold budgetMu.
func (s *Server) releaseGranted(q *request) {
	n := q.retries.granted
	if n == 0 {
		return
	}
	s.retryBudget(q.service.Name).Release(n)
	s.metrics.countRetries(retryReleased, n)
	q.retries.granted = 0
}

// countForRetries counts a caller's request; the retry budget is a fraction of these.
func (s *Server) countForRetries(service string) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.retryBudget(service).CountRequest(s.Clock.Now())
}

// retryBudget returns the budget of a service. The caller must hold budgetMu.
func (s *Server) retryBudget(service string) *budget.Budget {
	b, ok := s.retryBudgets[service]
	if !ok {
		rules := s.Rules.RetryBudget
		b = &budget.Budget{Ratio: rules.Ratio, Slack: rules.Slack, Window: rules.Window, StartedAt: s.startedAt}
		s.retryBudgets[service] = b
	}
	b.Entries = s.maxEntries
	return b
}
