package spread

import "time"

const (
	// minSupplySamples is how many chunks must have come from an upstream until the time
	// that they usually take is known.
	minSupplySamples = 8
	// slowTransferFactor is how many times as long as usual a transfer may take until it
	// counts as slow.
	slowTransferFactor = 1.5
)

// supplyTime estimates how long a chunk from an upstream usually takes at the most, from
// when it is due until the region is told that some side holds it.
type supplyTime struct {
	usual time.Duration
	n     int
}

// add adds a measured time. A chunk that one side delays takes many times as long, so
// that a longer time raises the estimate only a little.
func (t *supplyTime) add(d time.Duration) {
	t.n++
	switch {
	case t.n <= minSupplySamples:
		t.usual = max(t.usual, d)
	case d > t.usual:
		t.usual = min(d, t.usual*5/4)
	default:
		t.usual -= (t.usual - d) / 8
	}
}

// recordSupply adds the time that the region took to get a chunk from an upstream.
func (s *State) recordSupply(now time.Time, c *chunkState, up string) {
	if c.dueAt.IsZero() {
		return
	}
	t, ok := s.supply[up]
	if !ok {
		t = &supplyTime{}
		s.supply[up] = t
	}
	t.add(now.Sub(c.dueAt))
}

// slowerThanUsual reports whether a transfer from an upstream has already taken longer
// than the region usually needs to get a chunk from there.
func (s *State) slowerThanUsual(now time.Time, c *chunkState) bool {
	t, ok := s.supply[c.positions[0].upstream()]
	return ok && t.n >= minSupplySamples && now.Sub(c.startedAt) > time.Duration(slowTransferFactor*float64(t.usual))
}
