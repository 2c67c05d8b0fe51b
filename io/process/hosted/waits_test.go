package hosted

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The operator wants revoked keys refused within 1.5 s. Entries confirmed their
// belief every 0.8 s whatever the bound, so that it was up to 1.6 s old, and older at
// those that are told: they could not vouch for any key for part of each watch, and
// refused a third of all requests on a day without a fault.
func TestWaitsFollowTheBounds(t *testing.T) {
	tests := []struct {
		name          string
		bounds        Bounds
		store, teller time.Duration
	}{
		{"long", Bounds{StrictKeys: true, Revoke: 5 * time.Second, Apply: 2 * time.Second}, entryWait, entryTold},
		{"keys soon", Bounds{StrictKeys: true, Revoke: 1562500 * time.Microsecond, Apply: 2 * time.Second}, 400 * time.Millisecond, 250 * time.Millisecond},
		{"keys soon, not strict", Bounds{Revoke: 1500 * time.Millisecond, Apply: 2 * time.Second}, entryWait, entryTold},
		{"routes soon", Bounds{StrictKeys: true, Revoke: 5 * time.Second, Apply: time.Second}, 350 * time.Millisecond, 218750 * time.Microsecond},
		{"too soon for any", Bounds{StrictKeys: true, Revoke: 100 * time.Millisecond}, leastWait, 62500 * time.Microsecond},
		{"no bounds", Bounds{}, entryWait, entryTold},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			store, teller := entryWaits(tc.bounds)
			if diff := cmp.Diff([]time.Duration{tc.store, tc.teller}, []time.Duration{store, teller}); diff != "" {
				t.Errorf("waits (-want +got):\n%s", diff)
			}
			if tc.bounds.StrictKeys && store > leastWait {
				if oldest, vouched := 2*store+teller, scaled(tc.bounds.Revoke, keyShare); oldest >= vouched {
					t.Errorf("a belief grows %s old and vouches for keys for %s", oldest, vouched)
				}
			}
		})
	}
}
