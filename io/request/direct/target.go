package direct

import (
	"bytes"
	"io"
	"net/http"
)

// requestLineWriter replaces the first line that is written to it. http.Request changes some
// targets: it puts a scheme before two slashes, and escapes characters.
type requestLineWriter struct {
	w    io.Writer
	line string
	done bool
}

func (l *requestLineWriter) Write(b []byte) (int, error) {
	if l.done {
		return l.w.Write(b)
	}
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return len(b), nil
	}
	l.done = true
	if _, err := io.WriteString(l.w, l.line); err != nil {
		return 0, err
	}
	n, err := l.w.Write(b[i+1:])
	return i + 1 + n, err
}

// WriteByte keeps http.Request from putting a buffer before the writer.
func (l *requestLineWriter) WriteByte(c byte) error {
	_, err := l.Write([]byte{c})
	return err
}

// writeRequest writes a request with exactly the given target.
func writeRequest(w io.Writer, req *http.Request, target string) error {
	return req.Write(&requestLineWriter{w: w, line: req.Method + " " + target + " HTTP/1.1\r\n"})
}
