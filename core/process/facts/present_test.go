package facts

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// All machines lose power. The store lists each target twice for seconds: as it
// was, and as it has started anew at the same address. Requests to the former are
// turned away and fall behind; only the latter counts. Targets that do not say when
// they started, and those of another service, are left alone.
func TestPresentTakesTheLatestStart(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	a, b := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	got := Present([]Target{
		{ID: "old", Service: "s", Address: a, Born: at(1)},
		{ID: "new", Service: "s", Address: a, Born: at(2)},
		{ID: "alone", Service: "s", Address: b, Born: at(1)},
		{ID: "untold", Service: "s", Address: a},
		{ID: "other", Service: "o", Address: a, Born: at(1)},
	})
	var ids []string
	for _, t := range got {
		ids = append(ids, t.ID)
	}
	if diff := cmp.Diff([]string{"new", "alone", "untold", "other"}, ids); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
}
