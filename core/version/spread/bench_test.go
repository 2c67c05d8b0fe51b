package spread

import (
	"fmt"
	"testing"
	"time"
)

// newBenchState returns the State of one of n sides in five regions, and the version that they want.
func newBenchState(n int) (*State, WantedVersion, time.Time) {
	var members []Member
	for i := range n {
		members = append(members, Member{Name: fmt.Sprintf("10.%d.0.%d", i%5, i), Region: fmt.Sprintf("r%d", i%5)})
	}
	s := New(Config{Self: members[0], OriginRegion: "r1"})
	return s, testVersion("1", 0, scaleChunks).withMembers(members), time.Unix(1000, 0)
}

// BenchmarkUpdate passes the same version and members again, as each change of
// any target does.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, set, now := newBenchState(n)
			for b.Loop() {
				s.Update(now, []WantedVersion{set})
			}
		})
	}
}

// BenchmarkTick measures Tick on a side that holds the complete version.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, set, now := newBenchState(n)
			s.Update(now, []WantedVersion{set})
			for _, ref := range set.Manifest.Chunks {
				s.ChunkStaged(now, ref.Digest)
			}
			for b.Loop() {
				s.Tick(now)
			}
		})
	}
}
