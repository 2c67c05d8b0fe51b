package direct

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/request/resend"
	"hawthornferry/io/request/gate"
)

// maxBufferedResponse is the maximum size of a buffered response, in bytes.
const maxBufferedResponse = 8 << 20

// callerWriter writes the response to the caller, with a deadline for each write.
type callerWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

func (c callerWriter) write(b []byte) error {
	if err := c.rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.w.Write(b)
	return err
}

// writeHead writes the head of a target's response. A negative length sets no
// Content-Length.
func (c callerWriter) writeHead(resp *http.Response, length int) {
	h := c.w.Header()
	closing := h.Get("Connection")
	in := resp.Header.Clone()
	gate.RemoveHopByHopHeaders(in)
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

// bufferedRelay buffers a response until it is complete, so that after a failure before
// the end another attempt can be made.
type bufferedRelay struct {
	q      *request
	caller callerWriter
	// heldFailure is a failure response of a target that is sent if no later attempt
	// succeeds.
	heldFailure *http.Response
	heldBody    []byte
	sent        bool
}

func (r *bufferedRelay) readResponse(_ context.Context, x *exchange, g *watchdog) (resend.Outcome, error) {
	return r.readAndSend(x, g), x.abortReason()
}

func (r *bufferedRelay) readAndSend(x *exchange, g *watchdog) resend.Outcome {
	r.q.progress.status = x.resp.StatusCode
	// A target sends the head of such a response only after it has run the request.
	g.stopVersionCheck()
	b, err := io.ReadAll(io.LimitReader(x.resp.Body, maxBufferedResponse+1))
	if err == nil && len(b) > maxBufferedResponse {
		err = errors.Newf("response is over %d bytes", maxBufferedResponse)
	}
	if err != nil {
		r.q.progress.responseErr = operr.Wrap("read answer", "", err)
		return resend.Broken
	}
	if x.resp.StatusCode >= http.StatusInternalServerError && r.q.route.Repeatable() {
		r.heldFailure, r.heldBody = x.resp, b
		return resend.TargetFailure
	}
	return r.send(x.resp, b)
}

func (r *bufferedRelay) send(resp *http.Response, b []byte) resend.Outcome {
	r.sent = true
	r.q.progress.status = resp.StatusCode
	length := len(b)
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		length = -1
	}
	r.caller.writeHead(resp, length)
	if err := r.caller.write(b); err != nil {
		return resend.CallerGone
	}
	return resend.Relayed
}

func (r *bufferedRelay) responseBegun() bool { return r.sent }

func (r *bufferedRelay) sendHeldFailure() bool {
	if r.heldFailure == nil {
		return false
	}
	r.send(r.heldFailure, r.heldBody)
	return true
}
