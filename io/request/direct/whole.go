package direct

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/request/resend"
	"hawthornferry/io/request/gate"
)

// maxAnswer bounds a whole answer that is held, in bytes.
const maxAnswer = 8 << 20

// callerWriter writes to the caller under a deadline for each write.
type callerWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

func (c callerWriter) send(b []byte) error {
	if err := c.rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.w.Write(b)
	return err
}

// head writes the head of a target's answer.
func (c callerWriter) head(resp *http.Response, length int) {
	h := c.w.Header()
	closing := h.Get("Connection")
	in := resp.Header.Clone()
	gate.StripHops(in)
	in.Del("Content-Length")
	for name, values := range in {
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	c.w.WriteHeader(resp.StatusCode)
}

// wholeRelay holds an answer until it is whole, so that a failure before its
// end can still be mended by another attempt.
type wholeRelay struct {
	q   *request
	out callerWriter
	// kept is a failure that a target answered.
	kept     *http.Response
	keptBody []byte
	passed   bool
}

func (r *wholeRelay) take(_ context.Context, x *exchange, g *guard) (resend.Outcome, error) {
	return r.read(x, g), x.reason()
}

func (r *wholeRelay) read(x *exchange, g *guard) resend.Outcome {
	r.q.story.status = x.resp.StatusCode
	// The head of a whole answer comes once the request has run.
	g.settle()
	b, err := io.ReadAll(io.LimitReader(x.resp.Body, maxAnswer+1))
	if err == nil && len(b) > maxAnswer {
		err = errors.Newf("answer is over %d bytes", maxAnswer)
	}
	if err != nil {
		r.q.story.cut = fault.At("read answer", "", err)
		return resend.Broken
	}
	if x.resp.StatusCode >= http.StatusInternalServerError && r.q.route.Repeatable() {
		r.kept, r.keptBody = x.resp, b
		return resend.Failure
	}
	return r.pass(x.resp, b)
}

func (r *wholeRelay) pass(resp *http.Response, b []byte) resend.Outcome {
	r.passed = true
	r.q.story.status = resp.StatusCode
	length := len(b)
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		length = -1
	}
	r.out.head(resp, length)
	if err := r.out.send(b); err != nil {
		return resend.Caller
	}
	return resend.Relayed
}

func (r *wholeRelay) begun() bool { return r.passed }

func (r *wholeRelay) final() bool {
	if r.kept == nil {
		return false
	}
	r.pass(r.kept, r.keptBody)
	return true
}
