package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/sessn"
)

// errVersion is returned for an answer of another version than the one that
// the caller already has a part of.
var errVersion = errors.New("answer of another version")

// errCaller is returned when the caller can not be written to.
var errCaller = errors.New("caller does not take its answer")

// errCut is returned for an answer that ended before it was whole.
var errCut = errors.New("answer ended before it was whole")

// relay hands one answer to a caller. Several attempts may follow each
// other; resume says where the next one is to go on.
type relay interface {
	// head, data and end take an attempt's answer in.
	head(h *sessn.Head) error
	data(b []byte) error
	end() error
	// begun reports whether the caller has got a byte.
	begun() bool
	// resume prepares for the next attempt and returns the version that
	// alone may answer it, if any, and the number of tokens to skip.
	resume() (chunk.Digest, int)
	// possible reports whether a further attempt can complete the answer.
	possible() bool
}

// callerWriter writes to the caller under a deadline for each write.
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
		return errors.Mark(err, errCaller)
	}
	return nil
}

func (c callerWriter) flush() error {
	if err := c.rc.Flush(); err != nil {
		return errors.Mark(err, errCaller)
	}
	return nil
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// setLength states the length of an answer that may have a body. That of a
// HEAD is the target's own.
func setLength(h http.Header, status, n int) {
	if status == http.StatusNoContent || status == http.StatusNotModified || h.Get("Content-Length") != "" {
		return
	}
	h.Set("Content-Length", strconv.Itoa(n))
}

// wholeRelay holds an answer back until it is whole, so that a failure before
// its end can still be mended by another attempt. An answer over the bound is
// passed on as it comes, and cut if it fails.
type wholeRelay struct {
	out    callerWriter
	first  *sessn.Head
	held   []byte
	passed bool
}

func (r *wholeRelay) head(h *sessn.Head) error {
	r.first = h
	return nil
}

func (r *wholeRelay) data(b []byte) error {
	if r.passed {
		return r.out.send(b)
	}
	r.held = append(r.held, b...)
	if len(r.held) <= sessn.MaxAnswer {
		return nil
	}
	r.passed = true
	copyHeader(r.out.w.Header(), r.first.Header)
	r.out.w.WriteHeader(r.first.Status)
	return r.out.send(r.held)
}

func (r *wholeRelay) end() error {
	if r.first == nil {
		return errCut
	}
	if r.passed {
		return nil
	}
	r.passed = true
	copyHeader(r.out.w.Header(), r.first.Header)
	setLength(r.out.w.Header(), r.first.Status, len(r.held))
	r.out.w.WriteHeader(r.first.Status)
	return r.out.send(r.held)
}

func (r *wholeRelay) begun() bool { return r.passed }

func (r *wholeRelay) resume() (chunk.Digest, int) {
	r.first, r.held = nil, r.held[:0]
	return "", 0
}

func (r *wholeRelay) possible() bool { return !r.passed }
