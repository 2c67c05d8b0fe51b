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

// Outcome is the outcome of a call as the caller knows it.
type Outcome string

// The outcomes. A complete answer means Done. The outcome field of an error body
// says NotRun or Unknown. A call that was sent and got no answer is Unknown.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// The headers of a call and its answer.
const (
	headerCustomer = "X-Customer"
	headerTicket   = "X-Ticket"
	headerKey      = "Idempotency-Key"
	headerManifest = "X-Manifest"
)

// The largest answer that is read, and the longest and shortest wait between
// attempts.
const (
	maxAnswer    = 16 << 20
	maxRetryWait = 2 * time.Second
	retryWait    = 100 * time.Millisecond
)

// call is one call with all its attempts. key is the key in the body of a
// once-call, by which its executions are counted; ticket and idemKey make
// another attempt of it safe.
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
	// maybeRan is set when the last attempt's outcome was Unknown. If the next
	// one can't be sent, the call's outcome is still Unknown and not NotRun.
	maybeRan   bool
	firstToken time.Duration
	result     result
}

// result is the result of one attempt. notSent is set when no connection could be
// made, so that nothing was sent. notWhole is set for an answer that looked
// complete and was wrong, cut for one that ended early. fault says why the
// answer was wrong, or why there was none.
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

// run makes attempts until one is final or there were Attempts of them.
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

// updateState combines the attempt's result with the one before. After NotRun,
// the call with this ticket or idempotency key won't be executed any more, so
// that the next attempt needs a new one.
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

// isFinal reports whether there is no further attempt. A call that was not
// executed may be repeated. One with an unknown outcome may be repeated only if
// a second execution does no harm or is prevented: a lookup, or a once-call with
// a ticket or an idempotency key.
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

// attemptIndex selects the address of the attempt. It differs between attempts,
// so that the next one goes to another address.
func (c *call) attemptIndex() uint64 { return c.serial + uint64(c.attempts) }

// send sends a request with the headers of the call. The response's body has to
// be closed.
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

// requestFailed is the result of a request without a response. If no connection
// could be made, nothing was sent and the call was not executed.
func requestFailed(err error) result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result{outcome: NotRun, notSent: true, fault: "dial"}
	}
	return result{outcome: Unknown, fault: "lost"}
}

// problem is the part of an error body that is read.
type problem struct {
	Outcome Outcome `json:"outcome"`
}

// readProblem returns the result of a response with a status other than 200. The
// outcome is Unknown if the body names none.
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

// truncated is the result of an answer that ended early, which the caller could
// see.
func truncated(status int) result {
	return result{outcome: Unknown, status: status, cut: true, fault: "cut"}
}

// invalidAnswer is the result of an answer that looked complete and was not the
// complete answer to the request.
func invalidAnswer(status int, why string) result {
	return result{outcome: Done, status: status, notWhole: true, fault: why}
}
