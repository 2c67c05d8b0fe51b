package gate

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// errTarget is returned for a request target that no route can have.
var errTarget = errors.New("the request target is not a path, or an http URL with a host")

// RequestTarget returns the path and query of a request byte for byte as its caller sent them,
// in origin-form (RFC 9112, section 3.2). Of a target in absolute-form, that is what follows the
// authority, which http.ReadRequest has put in place of the Host header.
func RequestTarget(r *http.Request) (string, error) {
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
