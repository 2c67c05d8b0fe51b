package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"hawthornferry/core/request/calls"
)

// Problem is the body of an error response: application/problem+json of RFC 9457,
// extended by the outcome of the call. If Ticket is set, the outcome can be queried
// later with GET /v1/tickets/{ticket}.
type Problem struct {
	Type      string        `json:"type"`
	Title     string        `json:"title"`
	Status    int           `json:"status"`
	Detail    string        `json:"detail,omitempty"`
	Outcome   calls.Outcome `json:"outcome"`
	RequestID string        `json:"requestId"`
	Service   string        `json:"service,omitempty"`
	Ticket    string        `json:"ticket,omitempty"`

	// RetryAfter is sent as a header if it is safe to retry.
	RetryAfter time.Duration `json:"-"`
}

const (
	problemType      = "about:blank"
	problemMediaType = "application/problem+json"
)

// Headers of requests and responses.
const (
	headerCustomer       = "X-Customer"
	headerPriority       = "X-Priority"
	headerDeadlineMs     = "X-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerTicket         = "X-Ticket"
	headerRequestID      = "X-Request-Id"
	headerOutcome        = "X-Outcome"
	headerManifest       = "X-Manifest"
	headerResumeFrom     = "X-Resume-From"
)

// write sends p as the response.
func (p Problem) write(w http.ResponseWriter) {
	p.Type = problemType
	p.Title = http.StatusText(p.Status)
	h := w.Header()
	h.Set("Content-Type", problemMediaType)
	h.Set(headerOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
