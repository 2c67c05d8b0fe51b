package roll

import "time"

// maxSpacing bounds the time between two questions of a side whose load is
// delayed: the other replicas may have begun theirs, or left, meanwhile.
const maxSpacing = 500 * time.Millisecond

// Deadline says how much time is left to begin a load. Remaining is how long the
// version that the target serves may still be used; it is valid while Bounded is set.
type Deadline struct {
	Bounded   bool
	Remaining time.Duration
}

// passed reports whether the target's version may no longer be used, so that it serves nobody.
func (d Deadline) passed() bool { return d.Bounded && d.Remaining <= 0 }

// delay is how long a side delays its load so that the loads of the zone spread over
// the time left. An engine that is about to load accepts no calls until its current ones
// have ended. Engines that do so together overload the others, though the load of a
// single one is hardly noticed.
//
// Of two sides that ask at the same moment the one that ranks first loads first. If they
// disagree about the ranks both may load; the floor is kept all the same.
func (d Deadline) delay(want Want, answers []Status) time.Duration {
	if !d.Bounded {
		return 0
	}
	remaining := 1
	last := time.Duration(-1)
	for _, s := range answers {
		if s.OrderedVersion == want.Manifest && (last < 0 || s.OrderAge < last) {
			last = s.OrderAge
		}
		if s.Phase == PhaseAsking && s.Wanted == want.Manifest && s.Rank < want.Rank {
			last = 0
		}
		if s.Serving != "" && s.Serving != want.Manifest && s.Phase != PhaseLoading {
			remaining++
		}
	}
	if last < 0 {
		return 0
	}
	return d.Remaining/time.Duration(remaining) - last
}
