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
)

// Call holds what the headers of a caller's request say. ID identifies the request, and
// Key is the customer's API key. Deadline is how long the caller waits, zero if it does
// not say. Prompt, Answer and Hint are numbers of tokens: the length of the prompt, the
// maximum length of the answer, and the length of the answer that the caller expects.
// LastEvent is the ID of the last event that the caller has of a stream that it
// resumes.
type Call struct {
	ID        string
	Key       string
	Deadline  time.Duration
	Prompt    int
	Answer    int
	Hint      int
	LastEvent string
}

// Forward holds what the entry adds to a request that it sends to a target. Target is
// the ID of the target, and Left the time until the caller's deadline. LastEvent is the
// ID of the last event that the caller has. Version is the model version that the
// target must serve, zero for any.
type Forward struct {
	Target    string
	Left      time.Duration
	Customer  string
	LastEvent string
	Version   uint64
}

// Reply holds what the headers of a target's response say. Signed is set if the
// response was produced by a target and not by something in between, NotRun if the
// target says that the request did not run. Call is the ID of the request that was
// answered, empty if the headers do not say.
type Reply struct {
	Signed bool
	NotRun bool
	Call   string
}

// Dialect reads and writes the headers that callers and targets use. Call returns an
// error if the request must be rejected.
type Dialect interface {
	Call(r *http.Request) (Call, error)
	Forward(h http.Header, f Forward)
	Reply(status int, h http.Header) Reply
}
