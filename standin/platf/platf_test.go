package platf

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
)

type response struct {
	Status   int
	Revision string
	Body     string
}

func request(h http.Handler, method, path, body string) response {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	b, _ := io.ReadAll(w.Body)
	return response{Status: w.Code, Revision: w.Header().Get("X-Revision"), Body: strings.TrimSpace(string(b))}
}

func check(t *testing.T, what string, want, got response) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

const documents = "/v1/documents/trial"

func newConfig(t *testing.T, texts ...string) http.Handler {
	t.Helper()
	h := (&ConfigService{Rate: 100, Clock: clockwork.NewRealClock()}).Handler()
	for _, text := range texts {
		request(h, http.MethodPut, "/control/documents/trial", text)
	}
	return h
}

func TestRead(t *testing.T) {
	h := newConfig(t, "one", "two")
	check(t, "newest", response{Status: 200, Revision: "2", Body: "two"}, request(h, http.MethodGet, documents, ""))
	check(t, "nothing newer", response{Status: 304}, request(h, http.MethodGet, documents+"?after=2&wait=1ms", ""))
	got := request(h, http.MethodGet, "/v1/documents/other", "")
	if diff := cmp.Diff(404, got.Status); diff != "" {
		t.Errorf("unknown environment (-want +got):\n%s", diff)
	}
	check(t, "calls", response{Status: 200, Body: `{"calls":3}`}, request(h, http.MethodGet, "/control/calls", ""))
}

// A stale replica of the service returns an older document after a newer one:
// the fault serves revision 1 although revision 2 exists. A watch for a newer
// revision then ends without a document until the fault is removed.
func TestStaleService(t *testing.T) {
	h := newConfig(t, "one", "two")
	request(h, http.MethodPost, "/control/faults", `{"serve":1}`)
	check(t, "pinned", response{Status: 200, Revision: "1", Body: "one"}, request(h, http.MethodGet, documents, ""))
	check(t, "watch", response{Status: 304}, request(h, http.MethodGet, documents+"?after=1&wait=1ms", ""))
	request(h, http.MethodPost, "/control/faults", `{}`)
	check(t, "lifted", response{Status: 200, Revision: "2", Body: "two"}, request(h, http.MethodGet, documents+"?after=1&wait=1ms", ""))
}

// A watch that was accepted before the service went down gets status 503 as soon
// as it does.
func TestDownEndsWatch(t *testing.T) {
	h := newConfig(t, "one")
	got := make(chan response)
	go func() { got <- request(h, http.MethodGet, documents+"?after=1&wait=60s", "") }()
	request(h, http.MethodPost, "/control/faults", `{"down":true}`)
	if diff := cmp.Diff(503, (<-got).Status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

func TestWatchWakesAtPromotion(t *testing.T) {
	h := newConfig(t, "one")
	got := make(chan response)
	go func() { got <- request(h, http.MethodGet, documents+"?after=1&wait=60s", "") }()
	request(h, http.MethodPut, "/control/documents/trial", "two")
	check(t, "watch", response{Status: 200, Revision: "2", Body: "two"}, <-got)
}

func TestRateIsShared(t *testing.T) {
	h := (&ConfigService{Rate: 2, Clock: clockwork.NewFakeClock()}).Handler()
	request(h, http.MethodPut, "/control/documents/trial", "one")
	var got []int
	for range 3 {
		got = append(got, request(h, http.MethodGet, documents, "").Status)
	}
	if diff := cmp.Diff([]int{200, 200, 429}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}

// The list shows a VM that was added, and drops one that was removed, only after
// the lag.
func TestListShowsChangesAfterLag(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(0, 0))
	h := (&VMList{Lag: 2 * time.Second, Clock: clock}).Handler()
	const vm = `{"role":"side","zone":"z","region":"r","service":"s","address":"127.0.0.1:1","state":"live"}`
	shown := `[{"name":"a",` + vm[1:] + `]`
	check(t, "put", response{Status: 204}, request(h, http.MethodPut, "/control/vms/a", vm))
	check(t, "before the lag", response{Status: 200, Body: "[]"}, request(h, http.MethodGet, "/v1/vms", ""))
	clock.Advance(2 * time.Second)
	check(t, "after the lag", response{Status: 200, Body: shown}, request(h, http.MethodGet, "/v1/vms", ""))
	request(h, http.MethodDelete, "/control/vms/a", "")
	check(t, "gone, before the lag", response{Status: 200, Body: shown}, request(h, http.MethodGet, "/v1/vms", ""))
	clock.Advance(2 * time.Second)
	check(t, "gone", response{Status: 200, Body: "[]"}, request(h, http.MethodGet, "/v1/vms", ""))
	request(h, http.MethodPost, "/control/faults", `{"down":true}`)
	if diff := cmp.Diff(503, request(h, http.MethodGet, "/v1/vms", "").Status); diff != "" {
		t.Errorf("down (-want +got):\n%s", diff)
	}
}
