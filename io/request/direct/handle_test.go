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

// shifting is a source whose belief is replaced by a new one after some calls.
type shifting struct {
	before, after *facts.Facts
	age           time.Duration
	calls         int
}

func (s *shifting) replaced() bool {
	s.calls--
	return s.calls < 0
}

func (s *shifting) Changed() <-chan struct{} { return nil }

func (s *shifting) Current() *facts.Facts {
	if s.replaced() {
		return s.after
	}
	return s.before
}

func (s *shifting) Age() (time.Duration, bool) {
	if s.replaced() {
		return 0, true
	}
	return s.age, true
}

// keyed reads the key and nothing else.
type keyed struct{ Dialect }

func (keyed) Call(r *http.Request) (Call, error) {
	return Call{ID: "1", Key: r.Header.Get("Key")}, nil
}

func keyedFacts(path, key string) *facts.Facts {
	t := &table.Table{
		Routes:    []table.Route{{Name: "r", Host: "h", Prefix: path, Timeout: time.Second, Shares: []table.Share{{Service: "s", Weight: 1}}}},
		Services:  []table.Service{{Name: "s"}},
		Customers: []table.Customer{{Name: "c", Keys: []string{key}}},
	}
	t.Index()
	return &facts.Facts{Table: t}
}

// An entry that was cut off gets a new belief while it handles a request. It
// took the old table and then read the age, which was the new belief's: a key
// that had been revoked long ago passed, and a caller was told that a key or a
// route that had been there for long did not exist. Whenever the belief changes,
// such a request is refused for now, or served by the new belief.
func TestBeliefChangesWhileARequestIsPrepared(t *testing.T) {
	tests := []struct {
		name          string
		before, after *facts.Facts
		// served is the status by the new belief, 0 for a request that goes on.
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
					Clock: clockwork.NewFakeClock(), Dialect: keyed{}, Rules: Rules{KeyAge: 4 * time.Second, TableAge: 2 * time.Second},
					Source: &shifting{before: tc.before, after: tc.after, age: 10 * time.Second, calls: calls},
				}
				r := httptest.NewRequest(http.MethodGet, "/", nil)
				r.Host = "h"
				r.Header.Set("Key", "k")
				got, _ := s.prepare(httptest.NewRecorder(), &request{in: r, arrived: s.Clock.Now()})
				want := []int{tc.served, http.StatusServiceUnavailable}
				if !slices.Contains(want, got.status) {
					t.Errorf("replaced after %d calls: status %d (%s), want one of %v", calls, got.status, got.reason, want)
				}
			}
		})
	}
}
