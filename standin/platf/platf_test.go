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

type answer struct {
	Status   int
	Revision string
	Body     string
}

func ask(h http.Handler, method, path, body string) answer {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	b, _ := io.ReadAll(w.Body)
	return answer{Status: w.Code, Revision: w.Header().Get("X-Revision"), Body: strings.TrimSpace(string(b))}
}

func check(t *testing.T, what string, want, got answer) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

const documents = "/v1/documents/trial"

func promoted(t *testing.T, texts ...string) http.Handler {
	t.Helper()
	h := (&Config{Rate: 100, Clock: clockwork.NewRealClock()}).Handler()
	for _, text := range texts {
		ask(h, http.MethodPut, "/control/documents/trial", text)
	}
	return h
}

func TestRead(t *testing.T) {
	h := promoted(t, "one", "two")
	check(t, "newest", answer{Status: 200, Revision: "2", Body: "two"}, ask(h, http.MethodGet, documents, ""))
	check(t, "nothing newer", answer{Status: 304}, ask(h, http.MethodGet, documents+"?after=2&wait=1ms", ""))
	got := ask(h, http.MethodGet, "/v1/documents/other", "")
	if diff := cmp.Diff(404, got.Status); diff != "" {
		t.Errorf("unknown environment (-want +got):\n%s", diff)
	}
	check(t, "calls", answer{Status: 200, Body: `{"calls":3}`}, ask(h, http.MethodGet, "/control/calls", ""))
}

// A reader of a stale service sees an older document after a newer one: the
// fault pins revision 1 when revision 2 was already read. A watch after
// revision 2 then ends without a document until the fault is lifted.
func TestStaleService(t *testing.T) {
	h := promoted(t, "one", "two")
	ask(h, http.MethodPost, "/control/faults", `{"serve":1}`)
	check(t, "pinned", answer{Status: 200, Revision: "1", Body: "one"}, ask(h, http.MethodGet, documents, ""))
	check(t, "watch", answer{Status: 304}, ask(h, http.MethodGet, documents+"?after=1&wait=1ms", ""))
	ask(h, http.MethodPost, "/control/faults", `{}`)
	check(t, "lifted", answer{Status: 200, Revision: "2", Body: "two"}, ask(h, http.MethodGet, documents+"?after=1&wait=1ms", ""))
}

// A reader that watches gets 503 the moment the service goes down, although
// its call was accepted while the service was up.
func TestDownEndsWatch(t *testing.T) {
	h := promoted(t, "one")
	got := make(chan answer)
	go func() { got <- ask(h, http.MethodGet, documents+"?after=1&wait=60s", "") }()
	ask(h, http.MethodPost, "/control/faults", `{"down":true}`)
	if diff := cmp.Diff(503, (<-got).Status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

func TestWatchWakesAtPromotion(t *testing.T) {
	h := promoted(t, "one")
	got := make(chan answer)
	go func() { got <- ask(h, http.MethodGet, documents+"?after=1&wait=60s", "") }()
	ask(h, http.MethodPut, "/control/documents/trial", "two")
	check(t, "watch", answer{Status: 200, Revision: "2", Body: "two"}, <-got)
}

func TestRateIsShared(t *testing.T) {
	h := (&Config{Rate: 2, Clock: clockwork.NewFakeClock()}).Handler()
	ask(h, http.MethodPut, "/control/documents/trial", "one")
	var got []int
	for range 3 {
		got = append(got, ask(h, http.MethodGet, documents, "").Status)
	}
	if diff := cmp.Diff([]int{200, 200, 429}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}

// A reader of the VM list sees a VM that is already gone, and misses one that
// is already there: each change shows only after the lag.
func TestListLags(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(0, 0))
	h := (&List{Lag: 2 * time.Second, Clock: clock}).Handler()
	const vm = `{"role":"side","zone":"z","region":"r","service":"s","address":"127.0.0.1:1","state":"live"}`
	shown := `[{"name":"a",` + vm[1:] + `]`
	check(t, "put", answer{Status: 204}, ask(h, http.MethodPut, "/control/vms/a", vm))
	check(t, "before the lag", answer{Status: 200, Body: "[]"}, ask(h, http.MethodGet, "/v1/vms", ""))
	clock.Advance(2 * time.Second)
	check(t, "after the lag", answer{Status: 200, Body: shown}, ask(h, http.MethodGet, "/v1/vms", ""))
	ask(h, http.MethodDelete, "/control/vms/a", "")
	check(t, "gone, before the lag", answer{Status: 200, Body: shown}, ask(h, http.MethodGet, "/v1/vms", ""))
	clock.Advance(2 * time.Second)
	check(t, "gone", answer{Status: 200, Body: "[]"}, ask(h, http.MethodGet, "/v1/vms", ""))
	ask(h, http.MethodPost, "/control/faults", `{"down":true}`)
	if diff := cmp.Diff(503, ask(h, http.MethodGet, "/v1/vms", "").Status); diff != "" {
		t.Errorf("down (-want +got):\n%s", diff)
	}
}
