package roll

import "time"

// mostSpacing bounds the wait between two questions of a side whose load is
// put off: the other replicas may have begun theirs, or left, meanwhile.
const mostSpacing = 500 * time.Millisecond

// Deadline bounds when the replicas of a zone may begin a load. Left is how long
// the version that the target serves may still be used; it counts while Bounded is
// set.
type Deadline struct {
	Bounded bool
	Left    time.Duration
}

// passed reports whether a target that goes on with its version serves nobody.
func (d Deadline) passed() bool { return d.Bounded && d.Left <= 0 }

// wait is how long a side puts off its load so that those of the zone spread over
// the time that is left. An engine that is about to load takes nothing new until
// what it runs has ended; those that do so together leave the others more than
// they can bear, though each alone would hardly be missed.
//
// Of two that ask at the same moment the one that ranks first goes. Where views of
// the ranks differ both may go; the floor holds all the same.
func (d Deadline) wait(want Want, answers []Status) time.Duration {
	if !d.Bounded {
		return 0
	}
	remaining := 1
	last := time.Duration(-1)
	for _, s := range answers {
		if s.Ordered == want.Manifest && (last < 0 || s.OrderAge < last) {
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
	return d.Left/time.Duration(remaining) - last
}
