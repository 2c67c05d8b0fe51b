package bound

import (
	"bytes"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// The beginning of a status line: the protocol, the minor version, a space and the first digit
// of the status.
const (
	protocol    = "HTTP/1."
	spaceAt     = len(protocol) + 1
	statusAt    = spaceAt + 1
	interimCode = '1'
)

// HeadReader reads an HTTP/1 response from a connection and passes it on. It fails as soon as
// the heads of the response, those of interim ones included, exceed MaxHeadBytes or
// MaxHeadLines, or do not begin as a head does, or a field begins with a blank, which a parser takes
// for the rest of the field before. It does not limit what follows the last head.
type HeadReader struct {
	r io.Reader
	// size and lines count what has been read of the heads.
	size, lines int
	// line is the length of the present line so far, and first its first byte.
	line  int
	first byte
	// status is set while the present line is a status line, interim if it is that of an
	// interim response.
	status  bool
	interim bool
	ended   bool
	// err is the first error of the connection, and cut the error with which a read was cut off.
	err error
	cut error
}

// NewHeadReader returns a reader of the response that r begins with.
func NewHeadReader(r io.Reader) *HeadReader { return &HeadReader{r: r, status: true} }

// Read implements io.Reader.
func (h *HeadReader) Read(p []byte) (int, error) {
	// A parser drops an error that comes within a line, and reads on.
	if h.cut != nil {
		return 0, h.cut
	}
	n, err := h.r.Read(p)
	if h.err == nil {
		h.err = err
	}
	if h.cut = h.check(p[:n]); h.cut != nil {
		return 0, h.cut
	}
	return n, err
}

// Classify classifies the error of a parser that has read from h, as the function Classify does.
// If the connection has ended or failed, a parser may take what had arrived for invalid; the
// error is then that of the connection.
func (h *HeadReader) Classify(err error) error {
	if _, cut := Of(err); cut || h.err == nil {
		return Classify(err)
	}
	if _, invalid := Of(Classify(err)); !invalid {
		return err
	}
	if errors.Is(h.err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return h.err
}

// check checks the part of b that belongs to heads.
func (h *HeadReader) check(b []byte) error {
	for len(b) > 0 && !h.ended {
		end := bytes.IndexByte(b, '\n') + 1
		if end == 0 {
			end = len(b)
		}
		if err := h.checkPart(b[:end]); err != nil {
			return err
		}
		b = b[end:]
	}
	return nil
}

// checkPart checks a part of a line.
func (h *HeadReader) checkPart(b []byte) error {
	if h.size += len(b); h.size > MaxHeadBytes {
		return Exceeded(Head, MaxHeadBytes)
	}
	if h.status && !h.checkStatus(b) {
		return Invalid("not the head of an HTTP response")
	}
	if h.line == 0 {
		h.first = b[0]
	}
	if !h.status && (h.first == ' ' || h.first == '\t') {
		return Invalid("field that begins with a blank")
	}
	h.line += len(b)
	if b[len(b)-1] != '\n' {
		return nil
	}
	if h.lines++; h.lines > MaxHeadLines {
		return &CutOffError{Bound: Head, Reason: fmt.Sprintf("more than %d lines", MaxHeadLines)}
	}
	h.endLine()
	return nil
}

// checkStatus checks a part of a status line. Its beginning must be exact: a parser that takes
// another one for that of an interim response would go on to the next head.
func (h *HeadReader) checkStatus(b []byte) bool {
	for i, c := range b {
		at := h.line + i
		ok := true
		switch {
		case at < len(protocol):
			ok = c == protocol[at]
		case at == spaceAt:
			ok = c == ' '
		case at == statusAt:
			ok = '1' <= c && c <= '9'
			h.interim = c == interimCode
		case at > statusAt:
			return true
		default:
			ok = '0' <= c && c <= '9'
		}
		if !ok {
			return false
		}
	}
	return true
}

// endLine handles the end of a line. An empty one ends a head.
func (h *HeadReader) endLine() {
	empty := h.line == 1 || h.line == 2 && h.first == '\r'
	h.line = 0
	if h.status {
		h.status = false
		return
	}
	h.status, h.ended = empty, empty && !h.interim
}
