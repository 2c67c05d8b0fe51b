package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/sessn"
)

// errVersionMismatch is returned if an attempt's answer comes from another version than
// the part that the caller already has.
var errVersionMismatch = errors.New("answer of another version")

// errCallerWrite marks a failed write to the caller.
var errCallerWrite = errors.New("caller does not take its answer")

// errTruncated is returned for an answer that ended before it was complete.
var errTruncated = errors.New("answer ended before it was whole")

// relay passes an answer to a caller. Several attempts may contribute to one answer:
// prepareResume is called between them.
type relay interface {
	// onHead, onData and onEnd receive an attempt's answer.
	onHead(h *sessn.Head) error
	onData(b []byte) error
	onEnd() error
	// started reports whether anything has been sent to the caller.
	started() bool
	// prepareResume prepares for the next attempt. It returns the only version that may
	// answer it, or an empty digest for any version, and the number of tokens to skip.
	prepareResume() (chunk.Digest, int)
	// canRetry reports whether another attempt can still complete the answer.
	canRetry() bool
}

// callerWriter writes to the caller with a deadline for each write.
type callerWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) callerWriter {
	return callerWriter{w: w, rc: http.NewResponseController(w), timeout: timeout}
}

func (c callerWriter) send(b []byte) error {
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.timeout))
	if _, err := c.w.Write(b); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	return nil
}

func (c callerWriter) flush() error {
	if err := c.rc.Flush(); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	return nil
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// setContentLength sets the length of an answer unless its status allows no body or the
// target has set a length, as it does in answers to HEAD.
func setContentLength(h http.Header, status, n int) {
	if status == http.StatusNoContent || status == http.StatusNotModified || h.Get("Content-Length") != "" {
		return
	}
	h.Set("Content-Length", strconv.Itoa(n))
}

// bufferedRelay buffers an answer until it is complete, so that if an attempt fails
// another one can still provide it. An answer over sessn.MaxAnswer is passed through as
// it arrives, and is truncated if the attempt fails.
type bufferedRelay struct {
	out         callerWriter
	answerHead  *sessn.Head
	buffered    []byte
	wroteHeader bool
}

func (r *bufferedRelay) onHead(h *sessn.Head) error {
	r.answerHead = h
	return nil
}

func (r *bufferedRelay) onData(b []byte) error {
	if r.wroteHeader {
		return r.out.send(b)
	}
	r.buffered = append(r.buffered, b...)
	if len(r.buffered) <= sessn.MaxAnswer {
		return nil
	}
	r.wroteHeader = true
	copyHeader(r.out.w.Header(), r.answerHead.Header)
	r.out.w.WriteHeader(r.answerHead.Status)
	return r.out.send(r.buffered)
}

func (r *bufferedRelay) onEnd() error {
	if r.answerHead == nil {
		return errTruncated
	}
	if r.wroteHeader {
		return nil
	}
	r.wroteHeader = true
	copyHeader(r.out.w.Header(), r.answerHead.Header)
	setContentLength(r.out.w.Header(), r.answerHead.Status, len(r.buffered))
	r.out.w.WriteHeader(r.answerHead.Status)
	return r.out.send(r.buffered)
}

func (r *bufferedRelay) started() bool { return r.wroteHeader }

func (r *bufferedRelay) prepareResume() (chunk.Digest, int) {
	r.answerHead, r.buffered = nil, r.buffered[:0]
	return "", 0
}

func (r *bufferedRelay) canRetry() bool { return !r.wroteHeader }
