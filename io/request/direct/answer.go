package direct

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// answer is an answer of the entry's own.
type answer struct {
	status     int
	reason     string
	retryAfter time.Duration
	closing    bool
}

// problem is the body of such an answer, as in RFC 9457.
type problem struct {
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	RequestID string `json:"requestId"`
}

// answer ends a request without an answer of a target.
func (s *Server) answer(w http.ResponseWriter, q *request, a answer) {
	q.reason = a.reason
	s.finish(q, "ownAnswer", a.status)
	s.meter.refused(reasonKind(a), a.status)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 2, 64))
	}
	if a.closing {
		h.Set("Connection", "close")
	}
	b, err := json.Marshal(problem{Title: http.StatusText(a.status), Status: a.status, Detail: a.reason, RequestID: q.call.ID})
	if err != nil {
		b = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(a.status)
	// A caller that has left does not read it, which is its own choice.
	_, _ = w.Write(b)
}

// reasonKind is the reason for metrics, whose tags must be few: what is wrong
// with a request that cannot be read is told in the log.
func reasonKind(a answer) string {
	if a.status == http.StatusBadRequest {
		return "unreadable"
	}
	return a.reason
}
