package direct

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// errTarget is returned for a request target that no route can have.
var errTarget = errors.New("the request target is not a path, or an http URL with a host")

// requestTarget returns the path and query of a request byte for byte as its caller sent them,
// in origin-form (RFC 9112, section 3.2). Of a target in absolute-form, that is what follows the
// authority, which http.ReadRequest has put in place of the Host header.
func requestTarget(r *http.Request) (string, error) {
	target := r.RequestURI
	switch {
	case r.Method == http.MethodConnect || strings.Contains(target, "#"):
		return "", errTarget
	case strings.HasPrefix(target, "/"):
		return target, nil
	case r.URL.Scheme != "http" || !isPlainHost(r.URL.Host) || r.URL.User != nil:
		return "", errTarget
	}
	_, target, _ = strings.Cut(target, "://")
	switch i := strings.IndexAny(target, "/?"); {
	case i < 0:
		return "/", nil
	case target[i] == '?':
		return "/" + target[i:], nil
	default:
		return target[i:], nil
	}
}

// isPlainHost reports whether a host, which may have a port, is passed on as it is.
// http.Request converts names outside ASCII, and drops invalid ones.
func isPlainHost(host string) bool {
	return host != "" && strings.Trim(host, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_~:[]") == ""
}

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

// writeRequest writes a request with exactly the given target.
func writeRequest(w io.Writer, req *http.Request, target string) error {
	return req.Write(&requestLineWriter{w: w, line: req.Method + " " + target + " HTTP/1.1\r\n"})
}
