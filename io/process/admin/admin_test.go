package admin

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
)

// The server answers each path as documented, rejects other methods than GET and
// HEAD, and Fetch returns the status that it serves.
func TestServerIsReadOnly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	scope, metrics, closer := NewMetrics()
	scope.Counter("calls").Inc(3)
	closer.Close()
	want := Status{Process: Process{Name: "entry-1", Role: fleet.RoleEntry}, Config: Config{Revision: 7}}
	s := &Server{
		Listener: l,
		Status:   func() Status { return want },
		Ready:    func() error { return errors.New("no document yet") },
		Metrics:  metrics,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	addr := l.Addr().String()
	tests := []struct {
		method, path string
		code         int
		body         string
	}{
		{method: http.MethodGet, path: "/healthz", code: http.StatusOK, body: "ok"},
		{method: http.MethodGet, path: "/readyz", code: http.StatusServiceUnavailable, body: "no document yet"},
		{method: http.MethodGet, path: "/metrics", code: http.StatusOK, body: "hawthornferry_calls 3"},
		{method: http.MethodGet, path: "/v1/status", code: http.StatusOK, body: `"revision":7`},
		{method: http.MethodPost, path: "/v1/status", code: http.StatusMethodNotAllowed},
		{method: http.MethodGet, path: "/v2", code: http.StatusNotFound},
	}
	for _, tc := range tests {
		req, err := http.NewRequestWithContext(ctx, tc.method, "http://"+addr+tc.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if diff := cmp.Diff(tc.code, resp.StatusCode); diff != "" {
			t.Errorf("%s %s: code (-want +got):\n%s", tc.method, tc.path, diff)
		}
		if !strings.Contains(string(b), tc.body) {
			t.Errorf("%s %s: body %q does not contain %q", tc.method, tc.path, b, tc.body)
		}
	}
	got, err := Fetch(ctx, netip.MustParseAddrPort(addr))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
