package direct

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/request/resend"
	"hawthornferry/io/request/gate"
)

// callerWriter writes the response to the caller, with a deadline for each write.
type callerWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

// write writes b in parts. A caller that reads slowly, but does, is not cut off.
func (c callerWriter) write(b []byte) error {
	for first := true; first || len(b) > 0; first = false {
		if err := c.rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		n, err := c.w.Write(b[:min(len(b), writeChunk)])
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
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
	b, err := readHeld(x.resp.Body, x.resp.ContentLength, &r.q.hold, r.q.hold.GrowSpare, int64(len(r.q.body)+len(r.heldBody)))
	if errors.Is(err, errNoMemory) {
		return r.passOn(x.resp, b)
	}
	if err != nil {
		r.q.progress.responseErr = operr.Wrap("read answer", "", err)
		return resend.Broken
	}
	r.q.progress.mayBeTruncated = x.endsWithConnection() && len(b) == 0
	if x.resp.StatusCode >= http.StatusInternalServerError && r.q.route.Repeatable() {
		r.heldFailure, r.heldBody = x.resp, b
		return resend.TargetFailure
	}
	return r.send(x.resp, b)
}

// passOn sends a response for which there is no memory as it arrives, after the part that
// was buffered. The target is slowed down to what the caller reads. If either ends early,
// the caller's connection is closed, so that the response does not look complete.
func (r *bufferedRelay) passOn(resp *http.Response, begin []byte) resend.Outcome {
	r.sent = true
	r.caller.writeHead(resp, int(resp.ContentLength))
	if err := r.caller.write(begin); err != nil {
		return resend.CallerGone
	}
	readErr, writeErr := r.caller.copyFrom(resp.Body)
	switch {
	case writeErr != nil:
		return resend.CallerGone
	case readErr != nil:
		r.q.progress.responseErr = operr.Wrap("read answer", "", readErr)
		return resend.Broken
	}
	return resend.Relayed
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

func (r *bufferedRelay) canContinue() bool { return !r.sent }

func (r *bufferedRelay) sendHeldFailure() bool {
	if r.heldFailure == nil {
		return false
	}
	r.send(r.heldFailure, r.heldBody)
	return true
}
