package plain

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
)

// The connection closes without an answer both when the fault comes before the
// call is executed and when it comes after. A caller can't tell the two cases
// apart; the number of executions, 0 or 1, does.
func TestFaultClosesConnection(t *testing.T) {
	tests := []struct {
		name   string
		faults string
		want   map[string]int
	}{
		{name: "before", faults: `{"cutBeforeRun":true}`, want: nil},
		{name: "after", faults: `{"cutAfterRun":true}`, want: map[string]int{"k": 1}},
	}
	for _, tc := range tests {
		s := &Service{Name: "booking", Clock: clockwork.NewRealClock()}
		srv := httptest.NewServer(s.Handler())
		post(t, srv.URL+"/control/faults", tc.faults)
		resp, err := http.Post(srv.URL+"/holds", "application/json", strings.NewReader(`{"key":"k"}`))
		if err == nil {
			resp.Body.Close()
			t.Errorf("%s: got an answer, want none", tc.name)
		}
		if diff := cmp.Diff(tc.want, executions(t, srv.URL)); diff != "" {
			t.Errorf("%s: executions (-want +got):\n%s", tc.name, diff)
		}
		srv.Close()
	}
}

func TestTimesBoundsTheFault(t *testing.T) {
	s := &Service{Name: "booking", Clock: clockwork.NewRealClock()}
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	post(t, srv.URL+"/control/faults", `{"status":503,"times":1}`)
	got := []int{post(t, srv.URL+"/holds", `{"key":"k"}`), post(t, srv.URL+"/holds", `{"key":"k"}`)}
	if diff := cmp.Diff([]int{503, 200}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int{"k": 1}, executions(t, srv.URL)); diff != "" {
		t.Errorf("executions (-want +got):\n%s", diff)
	}
}

func post(t *testing.T, url, body string) int {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func executions(t *testing.T, url string) map[string]int {
	t.Helper()
	resp, err := http.Get(url + "/control/executions")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var v Executions
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		t.Fatal(err)
	}
	return v.Executions
}
