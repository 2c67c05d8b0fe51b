package hosted

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/table"
)

// Two versions are announced during an outage of the store, and a side learns of both at
// once. Fetching both would halve the download rate of the newest, for which callers wait,
// since requests must start on neither too late. The older one is fetched only if it was
// announced some time before the newest.
//
// The origin may also be unreachable until the time limit of the newest version is nearly
// over. Fetching both after that, at half the rate each, delayed the recovery of every
// engine, although no request could be answered by the older version any more.
func TestWantedVersions(t *testing.T) {
	start := time.Unix(1000, 0)
	announced := func(version uint64, after time.Duration) facts.ModelVersion {
		return facts.ModelVersion{Model: "m", Version: version, Since: start.Add(after), Read: true}
	}
	unseen := facts.ModelVersion{Model: "m", Version: 2, Since: start}
	tests := []struct {
		name      string
		announced []facts.ModelVersion
		// now is the time of the call, relative to start.
		now  time.Duration
		want []uint64
	}{
		{"none announced", nil, 0, []uint64{firstVersion}},
		{"one announced", []facts.ModelVersion{announced(2, 0)}, 0, []uint64{2}},
		{"two at once", []facts.ModelVersion{announced(2, 0), announced(3, 100*time.Millisecond)}, time.Second, []uint64{3}},
		{"two in turn", []facts.ModelVersion{announced(2, 0), announced(3, 2*time.Second)}, 3 * time.Second, []uint64{3, 2}},
		{"the newest has time for a load", []facts.ModelVersion{announced(2, 0), announced(3, 2*time.Second)}, 6 * time.Second, []uint64{3, 2}},
		{"the time limit of the newest is near", []facts.ModelVersion{announced(2, 0), announced(3, 2*time.Second)}, 7 * time.Second, []uint64{3}},
		{"all too old", []facts.ModelVersion{announced(2, 0), announced(3, 2*time.Second)}, time.Hour, []uint64{3}},
		{"one known only from peers", []facts.ModelVersion{unseen, announced(3, 2*time.Second)}, 3 * time.Second, []uint64{3}},
		{"three in turn", []facts.ModelVersion{announced(2, 0), announced(3, 2*time.Second), announced(4, 4*time.Second)}, 5 * time.Second, []uint64{4, 3}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tab := &table.Table{Services: []table.Service{{Name: "svc", Engine: &table.Engine{Model: "m"}}}}
			tab.BuildIndex()
			_, got, _ := wantedVersions(&facts.Facts{Table: tab, Versions: tc.announced}, "svc", start.Add(tc.now), 8*time.Second)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("wanted versions (-want +got):\n%s", diff)
			}
		})
	}
}
