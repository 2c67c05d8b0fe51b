// Package direct serves callers whose targets the entry calls itself, over
// HTTP: it takes a request, has a target chosen for it, sends it there, and
// hands the answer back whole. What may be repeated is repeated elsewhere when
// a target fails; what may run only once is sent again only when the target
// says that it did not run.
package direct

import (
	"net/http"
	"time"
)

// Call is what the headers of a caller's request say. Deadline is zero when
// the caller sets none. Prompt, Answer and Hint are tokens: of the prompt, at
// most of the answer, and as the caller expects of the answer.
type Call struct {
	ID        string
	Key       string
	Deadline  time.Duration
	Prompt    int
	Answer    int
	Hint      int
	LastEvent string
}

// Forward is what a target is told of a request beside what its caller sent.
// Left is the time until the caller gives up. Version is zero when any may
// answer.
type Forward struct {
	Target    string
	Left      time.Duration
	Customer  string
	LastEvent string
	Version   uint64
}

// Reply is what the headers of a target's answer say. Signed is set when a
// target made it, NotRun when it says that the request did not run. Call is
// the request that it answers, empty when it does not say.
type Reply struct {
	Signed bool
	NotRun bool
	Call   string
}

// Dialect reads and writes the headers that callers and targets use.
type Dialect interface {
	Call(r *http.Request) (Call, error)
	Forward(h http.Header, f Forward)
	Reply(status int, h http.Header) Reply
}
