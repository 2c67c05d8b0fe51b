package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"hawthornferry/core/request/calls"
)

// Problem is the body of an error answer: problem+json of RFC 9457 with the
// outcome of the call. Ticket, when set, asks for the outcome later by
// GET /v1/tickets/{ticket}.
type Problem struct {
	Type      string        `json:"type"`
	Title     string        `json:"title"`
	Status    int           `json:"status"`
	Detail    string        `json:"detail,omitempty"`
	Outcome   calls.Outcome `json:"outcome"`
	RequestID string        `json:"requestId"`
	Service   string        `json:"service,omitempty"`
	Ticket    string        `json:"ticket,omitempty"`

	// RetryAfter is sent as a header where asking again is safe.
	RetryAfter time.Duration `json:"-"`
}

const (
	problemType  = "about:blank"
	problemMedia = "application/problem+json"
)

// Headers that callers use or see.
const (
	headerCustomer = "X-Customer"
	headerPriority = "X-Priority"
	headerDeadline = "X-Deadline-Ms"
	headerKey      = "Idempotency-Key"
	headerTicket   = "X-Ticket"
	headerRequest  = "X-Request-Id"
	headerOutcome  = "X-Outcome"
	headerManifest = "X-Manifest"
	headerResume   = "X-Resume-From"
)

// write sends p to the caller.
func (p Problem) write(w http.ResponseWriter) {
	p.Type = problemType
	p.Title = http.StatusText(p.Status)
	h := w.Header()
	h.Set("Content-Type", problemMedia)
	h.Set(headerOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
