package facts

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// After a power loss of all machines the store lists each target twice for
// seconds: the old run, and the new one at the same address. Requests to the
// old one are rejected and get delayed, so only the new one is kept. Targets
// that do not report when they started, and those of another service, are not
// affected, nor those whose address is also listed with a start in the future.
func TestPresentKeepsTheLatestStart(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	a, b := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	now := at(3)
	got := DropReplaced([]Target{
		{ID: "old", Service: "s", Address: a, StartedAt: at(1)},
		{ID: "new", Service: "s", Address: a, StartedAt: at(2)},
		{ID: "alone", Service: "s", Address: b, StartedAt: at(1)},
		{ID: "untold", Service: "s", Address: a},
		{ID: "other", Service: "o", Address: a, StartedAt: at(1)},
		{ID: "future", Service: "s", Address: b, StartedAt: now.Add(maxClockError + 1)},
	}, now)
	var ids []string
	for _, t := range got {
		ids = append(ids, t.ID)
	}
	if diff := cmp.Diff([]string{"new", "alone", "untold", "other", "future"}, ids); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
}
