package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is what the caller was told of its call.
type Outcome string

// The outcomes. Done is told by a whole answer, NotRun and Unknown by the
// outcome field of a problem; a call that ends without an answer is Unknown.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// The headers of a call.
const (
	headerCustomer = "X-Customer"
	headerTicket   = "X-Ticket"
	headerKey      = "Idempotency-Key"
	headerManifest = "X-Manifest"
)

// Bounds of an answer and of the wait between attempts.
const (
	maxAnswer    = 16 << 20
	maxRetryWait = 2 * time.Second
	retryWait    = 100 * time.Millisecond
)

// call is one call with all its attempts.
type call struct {
	load     *LoadTest
	kind     Kind
	route    *Route
	serial   uint64
	customer string
	key      string
	ticket   string
	idemKey  string
	start    time.Time

	attempts int
	// unsure is set once an attempt ended in Unknown: a later attempt that
	// could not be sent then leaves the call unknown, not unrun.
	maybeRan   bool
	firstToken time.Duration
	result     result
}

// result is what one attempt came to. Unsent is set when the request never
// left. Fault says why an answer that looked
// complete was not whole, or why there was none.
type result struct {
	outcome    Outcome
	notSent    bool
	status     int
	retryAfter time.Duration
	manifest   string
	notWhole   bool
	cut        bool
	fault      string
}

// do makes attempts until one is final.
func (c *call) run() {
	for c.attempts < c.load.Attempts {
		c.attempts++
		c.result = c.attempt()
		c.updateState()
		if c.isFinal() {
			return
		}
		c.waitBeforeRetry()
	}
}

// settle fits the attempt's result to those before it. A ticket or key whose
// call will never run is given up, so that the next attempt takes a new one.
func (c *call) updateState() {
	if c.result.notSent && c.maybeRan {
		c.result.outcome = Unknown
	}
	c.maybeRan = c.result.outcome == Unknown
	if c.result.outcome == NotRun {
		c.ticket = ""
		c.idemKey = ""
	}
}

func (c *call) attempt() result {
	ctx, cancel := context.WithTimeout(context.Background(), c.load.Timeout)
	defer cancel()
	switch c.kind {
	case KindStream:
		return c.stream(ctx)
	case KindWhole:
		return c.completion(ctx)
	case KindLookup:
		return c.lookup(ctx)
	default:
		return c.once(ctx)
	}
}

// final reports whether the outcome settles the call. A call that did not run
// may be made again. One of which the outcome is unknown may be made again
// only when it can do no harm: not a once-call without a ticket or a key.
func (c *call) isFinal() bool {
	switch c.result.outcome {
	case Done:
		return true
	case NotRun:
		return false
	default:
		return c.kind != KindLookup && c.ticket == "" && c.idemKey == ""
	}
}

func (c *call) waitBeforeRetry() {
	wait := min(max(c.result.retryAfter, retryWait), maxRetryWait)
	<-c.load.Clock.After(wait)
}

// route numbers the attempt, so that the next one goes to another address.
func (c *call) attemptIndex() uint64 { return c.serial + uint64(c.attempts) }

// send makes a request; the caller closes the body of the response.
func (c *call) send(ctx context.Context, method, url string, body any) (*http.Response, error) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerCustomer, c.customer)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.ticket != "" {
		req.Header.Set(headerTicket, c.ticket)
	}
	if c.idemKey != "" {
		req.Header.Set(headerKey, c.idemKey)
	}
	return c.load.client.Do(req)
}

// lost is the result of a request without an answer. A connection that could
// not be made carried nothing, so that the call did not run.
func requestFailed(err error) result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result{outcome: NotRun, notSent: true, fault: "dial"}
	}
	return result{outcome: Unknown, fault: "lost"}
}

// problem is the body of a refusal.
type problem struct {
	Outcome Outcome `json:"outcome"`
}

// refused reads a response other than 200. A refusal that tells no outcome
// leaves it unknown.
func readProblem(resp *http.Response) result {
	res := result{outcome: Unknown, status: resp.StatusCode, fault: "status " + strconv.Itoa(resp.StatusCode)}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		res.retryAfter = time.Duration(s) * time.Second
	}
	var p problem
	err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&p)
	if err == nil && p.Outcome != "" {
		res.outcome = p.Outcome
	}
	return res
}

// partial is the result of an answer that broke off in the caller's sight.
func truncated(status int) result {
	return result{outcome: Unknown, status: status, cut: true, fault: "cut"}
}

// wrong is the result of an answer that looked complete and was not the
// caller's whole answer.
func invalidAnswer(status int, why string) result {
	return result{outcome: Done, status: status, notWhole: true, fault: why}
}
