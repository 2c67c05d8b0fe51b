package direct

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/table"
)

// changingSource is a Source whose facts change from before to after following the
// given number of calls. age is that of before.
type changingSource struct {
	before, after *facts.Facts
	age           time.Duration
	calls         int
}

func (s *changingSource) replaced() bool {
	s.calls--
	return s.calls < 0
}

func (s *changingSource) Changed() <-chan struct{} { return nil }

func (s *changingSource) Current() *facts.Facts {
	if s.replaced() {
		return s.after
	}
	return s.before
}

func (s *changingSource) Age() (time.Duration, bool) {
	if s.replaced() {
		return 0, true
	}
	return s.age, true
}

// keyCodec reads the key from the headers and nothing else.
type keyCodec struct{ HeaderCodec }

func (keyCodec) ReadCaller(r *http.Request) (CallerHeaders, error) {
	return CallerHeaders{ID: "1", APIKey: r.Header.Get("Key")}, nil
}

func keyedFacts(path, key string) *facts.Facts {
	t := &table.Table{
		Routes:    []table.Route{{Name: "r", Host: "h", Prefix: path, Timeout: time.Second, TrafficSplit: []table.WeightedService{{Service: "s", Weight: 1}}}},
		Services:  []table.Service{{Name: "s"}},
		Customers: []table.Customer{{Name: "c", APIKeys: []string{key}}},
	}
	t.BuildIndex()
	return &facts.Facts{Table: t}
}

// Guards against combining old facts with the age of new ones, when an entry that was
// partitioned receives new facts while it prepares a request. Then a key that was
// revoked long ago was accepted, and callers were told that a key or route that had
// long existed did not exist. Whenever the facts change, the request must be refused
// for now or served by the new facts.
func TestFactsChangeDuringPrepare(t *testing.T) {
	tests := []struct {
		name          string
		before, after *facts.Facts
		// served is the status by the new facts, 0 if the request is served.
		served int
	}{
		{"key revoked", keyedFacts("/", "k"), keyedFacts("/", "other"), http.StatusUnauthorized},
		{"key added", keyedFacts("/", "other"), keyedFacts("/", "k"), 0},
		{"route added", keyedFacts("/other/", "k"), keyedFacts("/", "k"), 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for calls := range 6 {
				s := &Server{
					Clock: clockwork.NewFakeClock(), HeaderCodec: keyCodec{}, Rules: Rules{MaxKeyAge: 4 * time.Second, MaxTableAge: 2 * time.Second},
					Source: &changingSource{before: tc.before, after: tc.after, age: 10 * time.Second, calls: calls},
				}
				r := httptest.NewRequest(http.MethodGet, "/", nil)
				r.Host = "h"
				r.Header.Set("Key", "k")
				got, _ := s.prepare(httptest.NewRecorder(), &request{incoming: r, arrivedAt: s.Clock.Now()})
				want := []int{tc.served, http.StatusServiceUnavailable}
				if !slices.Contains(want, got.status) {
					t.Errorf("facts replaced after %d calls: status %d (%s), want one of %v", calls, got.status, got.reason, want)
				}
			}
		})
	}
}
