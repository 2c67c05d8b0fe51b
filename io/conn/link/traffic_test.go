package link

import "testing"

// Guards against a status request that ends the process: it reads the traffic of each
// purpose, some of which had none.
func TestEveryPurposeHasTraffic(t *testing.T) {
	var totals Totals
	seen := map[*Traffic]Purpose{}
	for _, p := range Purposes() {
		traffic := totals.ByPurpose(p)
		if traffic == nil {
			t.Errorf("purpose %q has no traffic", p)
			continue
		}
		if other, ok := seen[traffic]; ok {
			t.Errorf("purposes %q and %q share their traffic", other, p)
		}
		seen[traffic] = p
		traffic.Received()
	}
}
