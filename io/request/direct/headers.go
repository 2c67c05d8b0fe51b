// Package direct is the HTTP reverse proxy of an entry process, for services whose
// targets the entry calls itself. Package hosted starts its Server.
//
// For each request, it matches a route, identifies the customer, waits until the placer
// (package place) assigns a target, sends the request there and relays the response. If
// a target fails, a request that may be repeated is sent to another one; a request that
// may run only once is sent again only if the target says that it did not run. A stream
// of events can continue at another target.
package direct

import (
	"net/http"
	"time"

	"hawthornferry/core/request/lease"
)

// CallerHeaders holds what the headers of a caller's request say.
type CallerHeaders struct {
	// ID identifies the request.
	ID string
	// APIKey is the customer's API key.
	APIKey string
	// Deadline is how long the caller waits, zero if it does not say.
	Deadline time.Duration
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int
	// MaxAnswerTokens is the maximum length of the answer, in tokens.
	MaxAnswerTokens int
	// ExpectedAnswerTokens is the length of the answer that the caller expects, in tokens.
	ExpectedAnswerTokens int
	// SharedParts holds the IDs of the parts of the prompt that other requests may have, too,
	// without duplicates and in the order of the prompt.
	SharedParts []string
	// LastEventID is the ID of the last event that the caller has of a stream that it
	// resumes.
	LastEventID string
}

// ForwardHeaders holds what the entry adds to a request that it sends to a target.
type ForwardHeaders struct {
	// Target is the ID of the target.
	Target string
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	Customer  string
	// LastEventID is the ID of the last event that the caller has.
	LastEventID string
	// RequiredVersion is the model version that the target must serve, zero for any.
	RequiredVersion uint64
	// Priority is that of the request in the target's own queue, from 0, the most urgent. It
	// is nil if the service has no admission level.
	Priority *int
}

// ReplyHeaders holds what the headers of a target's response say.
type ReplyHeaders struct {
	// Signed is set if the response was produced by a target and not by something in
	// between.
	Signed bool
	// NotRun is set if the target says that the request did not run.
	NotRun bool
	// RequestID is the ID of the request that was answered, empty if the headers do not
	// say.
	RequestID string
	// Leaving is set if the target says that it is about to stop.
	Leaving bool
	// RetryAfter is for how long the target wants no requests from this entry, 0 if it does not
	// say.
	RetryAfter time.Duration
	// RateLimit is the limit that the target names.
	RateLimit lease.RateLimit
}

// HeaderCodec reads and writes the headers that callers and targets use.
type HeaderCodec interface {
	// ReadCaller reads the headers of a caller's request. An error rejects the request.
	ReadCaller(r *http.Request) (CallerHeaders, error)
	// WriteForward writes the headers of a request to a target.
	WriteForward(h http.Header, f ForwardHeaders)
	// ReadReply reads the headers of a target's response.
	ReadReply(status int, h http.Header) ReplyHeaders
}
