package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
)

// startEcho starts a server that sends every byte back and returns its address.
func startEcho(t *testing.T) netip.AddrPort {
	t.Helper()
	nl := listen(t)
	go func() {
		for {
			nc, err := nl.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				_, _ = io.Copy(nc, nc)
			}()
		}
	}()
	return netip.MustParseAddrPort(nl.Addr().String())
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nl.Close() })
	return nl
}

func startRoute(t *testing.T) (*Route, http.Handler) {
	t.Helper()
	nl := listen(t)
	r := &Route{Listen: netip.MustParseAddrPort(nl.Addr().String()), To: startEcho(t), Clock: clockwork.NewRealClock()}
	done := make(chan error, 1)
	ctx := t.Context()
	go func() { done <- r.Run(ctx, nl) }()
	t.Cleanup(func() {
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return r, Handler([]*Route{r})
}

func dial(t *testing.T, r *Route) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", r.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	roundTrip(t, nc, "hello")
	return nc
}

func roundTrip(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, len(text))
	if _, err := io.ReadFull(nc, b); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(text, string(b)); diff != "" {
		t.Errorf("echo (-want +got):\n%s", diff)
	}
}

func postControl(t *testing.T, h http.Handler, r *Route, path, body string) string {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/control/routes/"+r.To.String()+"/"+path, strings.NewReader(body)))
	if w.Code >= http.StatusBadRequest {
		t.Fatalf("%s: status %d", path, w.Code)
	}
	return strings.TrimSpace(w.Body.String())
}

// A silent connection, as when a device between the two ends has lost its state,
// gives no bytes and no end, and what is sent on it is dropped, while a new
// connection to the same address works.
func TestSilence(t *testing.T) {
	r, h := startRoute(t)
	old := dial(t, r)
	if diff := cmp.Diff(`{"connections":1}`, postControl(t, h, r, "silence", "")); diff != "" {
		t.Errorf("silenced (-want +got):\n%s", diff)
	}
	got := make(chan int, 1)
	go func() {
		_, _ = io.WriteString(old, "lost")
		n, _ := old.Read(make([]byte, 8))
		got <- n
	}()
	roundTrip(t, dial(t, r), "new")
	select {
	case n := <-got:
		t.Errorf("the silent connection gave %d bytes or an end", n)
	default:
	}
	old.Close()
	if diff := cmp.Diff(0, <-got); diff != "" {
		t.Errorf("bytes on the silent connection (-want +got):\n%s", diff)
	}
}

// An open connection is closed, and a new one works.
func TestCut(t *testing.T) {
	r, h := startRoute(t)
	old := dial(t, r)
	postControl(t, h, r, "cut", "")
	if n, err := old.Read(make([]byte, 8)); err == nil {
		t.Errorf("the cut connection gave %d bytes", n)
	}
	roundTrip(t, dial(t, r), "new")
}

// What is sent while the route holds arrives after the hold ends; nothing is
// lost.
func TestHold(t *testing.T) {
	r, h := startRoute(t)
	nc := dial(t, r)
	postControl(t, h, r, "faults", `{"hold":true}`)
	if _, err := io.WriteString(nc, "held"); err != nil {
		t.Fatal(err)
	}
	postControl(t, h, r, "faults", `{"delay":"1ms"}`)
	b := make([]byte, 4)
	if _, err := io.ReadFull(nc, b); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("held", string(b)); diff != "" {
		t.Errorf("echo (-want +got):\n%s", diff)
	}
}

// The client gets ECONNRESET and not an end of stream, which would make the
// bytes before it look like a complete response.
func TestReset(t *testing.T) {
	r, _ := startRoute(t)
	nc := dial(t, r)
	r.Reset()
	if _, err := nc.Read(make([]byte, 8)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read: %v, want a reset", err)
	}
}

// With HoldResponses the request arrives at To, and the response reaches the client
// only once the fault is removed.
func TestHoldBack(t *testing.T) {
	r, _ := startRoute(t)
	nc := dial(t, r)
	r.SetFaults(Faults{HoldResponses: true})
	if _, err := io.WriteString(nc, "held"); err != nil {
		t.Fatal(err)
	}
	_ = nc.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := nc.Read(make([]byte, 4)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read while responses are held: %v", err)
	}
	r.SetFaults(Faults{})
	_ = nc.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.ReadFull(nc, make([]byte, 4)); err != nil {
		t.Errorf("read after: %v", err)
	}
}
