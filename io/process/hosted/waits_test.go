package hosted

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against waits that ignore the operator's bounds. With a bound of 1.5 s on revoked
// keys, entries confirmed the platform's state every 0.8 s, so that it was up to 1.6 s old,
// and older at entries that learn it from peers. They could not accept any key for part of
// each watch, and refused a third of all requests without any fault in the system.
func TestWaitsFollowTheBounds(t *testing.T) {
	tests := []struct {
		name        string
		bounds      Bounds
		store, peer time.Duration
	}{
		{"long", Bounds{StrictKeys: true, RevocationDelay: 5 * time.Second, ConfigDelay: 2 * time.Second}, entryStoreWait, entryPeerWait},
		{"short bound on keys", Bounds{StrictKeys: true, RevocationDelay: 1562500 * time.Microsecond, ConfigDelay: 2 * time.Second}, 400 * time.Millisecond, 250 * time.Millisecond},
		{"short bound on keys, not strict", Bounds{RevocationDelay: 1500 * time.Millisecond, ConfigDelay: 2 * time.Second}, entryStoreWait, entryPeerWait},
		{"short bound on routes", Bounds{StrictKeys: true, RevocationDelay: 5 * time.Second, ConfigDelay: time.Second}, 350 * time.Millisecond, 218750 * time.Microsecond},
		{"bound below any wait", Bounds{StrictKeys: true, RevocationDelay: 100 * time.Millisecond}, minWait, 62500 * time.Microsecond},
		{"no bounds", Bounds{}, entryStoreWait, entryPeerWait},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			store, peer := entryWaits(tc.bounds)
			if diff := cmp.Diff([]time.Duration{tc.store, tc.peer}, []time.Duration{store, peer}); diff != "" {
				t.Errorf("waits (-want +got):\n%s", diff)
			}
			if tc.bounds.StrictKeys && store > minWait {
				if oldest, trusted := 2*store+peer, scaleDuration(tc.bounds.RevocationDelay, keyShare); oldest >= trusted {
					t.Errorf("a copy of the state gets %s old, but is trusted for keys for %s", oldest, trusted)
				}
			}
		})
	}
}

// Guards against entries that follow an upstream which the store no longer answers for so
// long that a new configuration takes effect too late.
func TestSilentReaderIsLeftWithinTheBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		b := Bounds{ConfigDelay: bound}
		store, _ := entryWaits(b)
		if took := store + maxStoreLateness(b, store) + changeUpstreamTime; took > bound {
			t.Errorf("a new configuration takes effect after up to %s, want %s at most", took, bound)
		}
	}
}
