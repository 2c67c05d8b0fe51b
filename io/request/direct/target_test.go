package direct

import (
	"bufio"
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"hawthornferry/io/request/gate"
)

// forward returns the request line and the Host header of the request that a target gets for
// one that arrives with the given target, or false if it is rejected.
func forward(t *testing.T, target string) (line, host string, ok bool) {
	t.Helper()
	in, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h.example\r\n\r\n")))
	if err != nil {
		return "", "", false
	}
	out, err := gate.RequestTarget(in)
	if err != nil {
		return "", "", false
	}
	var b bytes.Buffer
	req := &http.Request{Method: in.Method, Host: in.Host, URL: &url.URL{Scheme: "http", Host: in.Host, Path: "/"}, Header: http.Header{}}
	if err := writeRequest(&b, req, out); err != nil {
		t.Fatal(err)
	}
	got, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b.Bytes())))
	if err != nil {
		t.Fatalf("the request %q can't be read: %v", b.String(), err)
	}
	line, _, _ = strings.Cut(b.String(), "\r\n")
	if got.RequestURI != out || got.Host != in.Host || len(got.Header) > 1 {
		t.Errorf("the request %q is read with target %q, host %q, headers %v", b.String(), got.RequestURI, got.Host, got.Header)
	}
	return line, in.Host, true
}

// FuzzRequestTarget checks that whatever target a request has, it arrives byte for byte, in
// origin-form, or the request is rejected.
func FuzzRequestTarget(f *testing.F) {
	for _, target := range []string{"//a/b", "/a//b?c?d", "/%2F%2f/x", "/?", "/a;b=c:d", "http://h//a", "http://h?b", "HTTP://h", "*", "h:80", "/a#b", "/a b", "/|\xff", "http://0\"", "http://\u00fc/"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		line, _, ok := forward(t, target)
		if !ok {
			return
		}
		sent := strings.TrimSuffix(strings.TrimPrefix(line, "GET "), " HTTP/1.1")
		if strings.HasPrefix(target, "/") {
			if sent != target {
				t.Errorf("target %q arrives as %q", target, sent)
			}
			return
		}
		if !strings.HasSuffix(target, strings.TrimPrefix(sent, "/")) || !strings.HasPrefix(strings.ToLower(target), "http://") {
			t.Errorf("target %q arrives as %q", target, sent)
		}
	})
}
