package gate

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/standin/flood"
)

// breakingTarget returns the address of a server that answers the first request of each
// connection, and closes the connection without an answer after it has run the second.
// It counts the runs of payments.
func breakingTarget(t *testing.T) (string, *atomic.Int64) {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nl.Close() })
	runs := &atomic.Int64{}
	go func() {
		for {
			c, err := nl.Accept()
			if err != nil {
				return
			}
			go serveTwo(c, runs)
		}
	}()
	return nl.Addr().String(), runs
}

func serveTwo(c net.Conn, runs *atomic.Int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/payments" {
			runs.Add(1)
		}
		if n == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// A payment is sent on a connection on which the target has answered before. The target
// runs it and closes the connection without an answer. http.Transport on its own
// resends a request with an Idempotency-Key, so that the payment would run twice. With
// a connection for each call it runs once.
func TestTransportNeverResends(t *testing.T) {
	tests := []struct {
		name string
		rt   http.RoundTripper
		want int64
	}{
		{"default transport, which resends", &http.Transport{}, 2},
		{"transport of once-calls", newOnceTransport(), 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			defer (&http.Client{Transport: tc.rt}).CloseIdleConnections()
			addr, runs := breakingTarget(t)
			for _, path := range []string{"/warm", "/payments"} {
				req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader("fee"))
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Idempotency-Key", "k1")
				res, err := tc.rt.RoundTrip(req)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
			if diff := cmp.Diff(tc.want, runs.Load()); diff != "" {
				t.Errorf("runs of the payment (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a part of an answer that is taken for all of it, because the target resets the
// connection while the call is still being written and only the end of the connection ends the
// answer.
func TestAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	const tries, uploadBytes = 20, 8 << 20
	target, err := flood.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer target.Listener.Close()
	target.Answer = func(conn net.Conn, _ *http.Request, n int) {
		flood.AnswerAndReset(conn, flood.StatusLine+"\r\npart", time.Duration(n%3)*10*time.Millisecond)
	}
	go target.Run()
	for name, transport := range map[string]http.RoundTripper{"repeatable": newPooledTransport(), "once": newOnceTransport()} {
		for range tries {
			req, err := http.NewRequest(http.MethodPost, "http://"+target.Addr().String()+"/x", bytes.NewReader(make([]byte, uploadBytes)))
			if err != nil {
				t.Fatal(err)
			}
			res, err := transport.RoundTrip(req)
			if err != nil {
				continue
			}
			b, err := io.ReadAll(res.Body)
			res.Body.Close()
			if err == nil {
				t.Errorf("%s: status %d, body %q, no error", name, res.StatusCode, b)
			}
		}
	}
}
