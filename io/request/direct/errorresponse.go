package direct

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// errorResponse is a response that the entry itself produces, as opposed to one passed
// on from a target. retryAfter is zero if the caller is not told to retry; closeConn
// asks the caller to close its connection.
type errorResponse struct {
	status     int
	reason     string
	retryAfter time.Duration
	closeConn  bool
}

// problem is the body of an errorResponse, as in RFC 9457.
type problem struct {
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	RequestID string `json:"requestId"`
}

// sendError ends a request with a response of the entry's own.
func (s *Server) sendError(w http.ResponseWriter, q *request, e errorResponse) {
	q.reason = e.reason
	s.finishRequest(q, "ownAnswer", e.status)
	s.metrics.countErrorResponse(metricReason(e), e.status)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.retryAfter.Seconds(), 'f', 2, 64))
	}
	if e.closeConn {
		h.Set("Connection", "close")
	}
	b, err := json.Marshal(problem{Title: http.StatusText(e.status), Status: e.status, Detail: e.reason, RequestID: q.call.ID})
	if err != nil {
		b = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(e.status)
	// A write error means that the caller has disconnected; there is nothing left to
	// do.
	_, _ = w.Write(b)
}

// metricReason returns the value of the metric tag "reason". Metric tags must have few
// distinct values, so that all requests that cannot be read share one; the log has the
// details.
func metricReason(e errorResponse) string {
	if e.status == http.StatusBadRequest {
		return "unreadable"
	}
	return e.reason
}
