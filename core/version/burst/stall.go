package burst

import "time"

// Times of recovery.
const (
	// firstFactor is how many least patiences a transfer may take before any
	// has been measured.
	firstFactor  = 10
	mostPatience = 60 * time.Second
	// stallFactor is how many times the mean duration a transfer may take.
	stallFactor = 4
	// trickleFactor is how many times its patience a transfer from a peer
	// may last although bytes keep coming.
	trickleFactor = 4
	// lostFactor is how many step-in waits a chunk that was heard of may
	// stay out of reach.
	lostFactor = 1
	// mostBadPauses bounds, in longest pauses, how long a peer is left alone.
	// The first time it is the patience of a trade; each further fault in a
	// row doubles it.
	mostBadPauses = 12
	// silentFactor is how many times the patience of imports the region upstream may
	// bring nothing before it is taken to be cut off from the origin. probeShare is
	// the part of that time between two tries at the origin, and returnPauses how
	// many of the longest pauses it has, once the origin answers, to bring something.
	silentFactor = 12
	probeShare   = 4
	returnPauses = 2
	// queueFactor bounds, in longest pauses, how long a transfer waits on this
	// side for its turn on the machine's link.
	queueFactor = 4
	// silentStrikes is how many stalls in a row a connection may have before
	// it is closed.
	silentStrikes = 2
	// suspectFor is how long a side that missed its turn is passed over.
	suspectFor = 30 * time.Second
	// goneFor is the same for one that has ended: it may have started again.
	goneFor = 4 * time.Second
	// mostBadTrades is how many failures of neighbours to send a chunk are
	// borne before it is fetched anew for the region.
	mostBadTrades = 2
	firstRetry    = 100 * time.Millisecond
	mostRetry     = 5 * time.Second
	firstDial     = 200 * time.Millisecond
	mostDial      = 5 * time.Second
)

// estimate is a decaying mean of durations.
type estimate struct {
	mean time.Duration
	n    int
}

func (e *estimate) add(d time.Duration) {
	e.n++
	if e.n == 1 {
		e.mean = d
		return
	}
	e.mean += (d - e.mean) / 8
}

// timing holds what one way of transfer took lately: flow counts from the
// first byte, whole from when the chunk was asked for, with the time in which
// the peer still fetched the chunk itself.
type timing struct {
	flow  estimate
	whole estimate
}

func (s *State) measure(it *item, now time.Time) {
	t := s.timingOf(it.via)
	t.flow.add(now.Sub(it.since))
	t.whole.add(now.Sub(it.began))
}

func (s *State) timingOf(v Via) *timing {
	t, ok := s.timing[v]
	if !ok {
		t = &timing{}
		s.timing[v] = t
	}
	return t
}

// patience is how long a transfer may bring nothing once its bytes flow: a
// multiple of what such transfers took lately.
func (s *State) patience(v Via) time.Duration { return s.patienceOf(s.timingOf(v).flow) }

// startPatience is how long a transfer may take to bring its first byte, and
// how long a rank waits for the one before it.
func (s *State) startPatience(v Via) time.Duration { return s.patienceOf(s.timingOf(v).whole) }

func (s *State) patienceOf(e estimate) time.Duration {
	if e.n == 0 {
		return firstFactor * s.cfg.LeastPatience
	}
	return min(max(stallFactor*e.mean, s.cfg.LeastPatience), mostPatience)
}

// stepIn is how long the side at a rank waits for those before it, counted
// from when the chunk's turn came. While nothing is to be had from the upstream
// each of those may be in the longest pause between two tries.
func (s *State) stepIn(up string, pos int) time.Duration {
	via := ViaImport
	if up == "" {
		via = ViaOrigin
	}
	each := max(s.startPatience(via), leastStepIn)
	if s.troubled[up] {
		each += s.cfg.MostPause
	}
	return time.Duration(pos) * each
}

// expire ends transfers past their deadline and takes back upload slots from
// silent peers.
func (s *State) expire(now time.Time) {
	for _, it := range s.pendingItems() {
		if now.Before(it.deadline) {
			continue
		}
		why := it.lateness()
		s.emit(Stop{Chunk: it.ref.Digest, Peer: it.from, Reason: string(why)})
		s.failed(now, it, why, 0)
	}
	for _, p := range s.order {
		if p.uploads > 0 && now.After(p.uploadEnd) {
			// The peer took an offer and went silent. Left in use, the slot
			// would be lost, and with a few such peers all of them.
			s.releaseAll(p)
			s.blame(now, p.Name, FailStalled)
		}
	}
}

// lateness says why a transfer that is past its deadline is.
func (it *item) lateness() Failure {
	switch {
	case it.queued:
		return FailQueued
	case it.later:
		return FailLater
	default:
		return FailStalled
	}
}

// pendingItems lists the chunks on the way, in a fixed order.
func (s *State) pendingItems() []*item {
	var out []*item
	for _, st := range s.sets {
		for i, it := range st.items {
			if it.pending() && it.places[0] == (place{set: st, index: i}) {
				out = append(out, it)
			}
		}
	}
	return out
}

func (s *State) failed(now time.Time, it *item, why Failure, after time.Duration) {
	s.blame(now, it.from, why)
	if it.via == ViaTrade && why != FailGone && why != FailQueued {
		it.badTrades++
	}
	switch {
	case why == FailLater:
		// The wait goes on after a look at another side: the one that ranks first may
		// be the only one upstream that lacks the chunk.
		it.laters++
	case why == FailQueued:
	case it.via != ViaTrade:
		it.attempts++
		it.retryAt = now.Add(max(after, s.retryPause(it, why)))
		it.fails++
	}
	if it.via == ViaOrigin && why != FailQueued {
		it.attempts, it.laters = 0, 0
		s.originAnswered(now, false)
		s.trouble(now, "")
	}
	if why == FailLacks {
		s.disbelieve(it)
	}
	s.clearPending(it)
	it.probing = why == FailLater
	s.stale = true
	s.invite()
}

// retryPause is how long a chunk is left alone after its source failed: not at all
// while another side upstream can be asked in place of one that has ended.
func (s *State) retryPause(it *item, why Failure) time.Duration {
	at := it.places[0]
	if it.via == ViaImport && why == FailGone && it.attempts < len(at.set.members[at.upstream()]) {
		return 0
	}
	return doubled(firstRetry, it.fails, s.cfg.MostPause)
}

// blame leaves a peer alone for a while after a fault. Without it the next
// pick would often fall on the same peer and the chunk would never come.
func (s *State) blame(now time.Time, name string, why Failure) {
	p, ok := s.peers[name]
	if !ok || why == FailGone || why == FailLater || why == FailQueued {
		return
	}
	p.strikes++
	p.stalled = why == FailStalled
	if why == FailStalled && p.strikes > silentStrikes && p.connected {
		// A connection can go silent for good while a new one would work.
		s.emit(Disconnect{Peer: name})
	}
	p.badUntil = now.Add(doubled(s.patience(ViaTrade), p.strikes-1, mostBadPauses*s.cfg.MostPause))
	if p.badUntil.After(s.blameEnd) {
		s.blameEnd = p.badUntil
	}
}

// disbelieve forgets a peer's claim to hold a chunk that it could not send.
func (s *State) disbelieve(it *item) {
	p, ok := s.peers[it.from]
	if !ok {
		return
	}
	for _, pl := range it.places {
		m := p.maps[pl.set.id]
		if !m.Has(pl.index) {
			continue
		}
		m.Clear(pl.index)
		if pl.set.copies[pl.index] > 0 && s.near(p) {
			pl.set.copies[pl.index]--
		}
	}
}

func (s *State) pardon(name string) {
	if p, ok := s.peers[name]; ok {
		p.strikes = 0
	}
}

func doubled(d time.Duration, times int, most time.Duration) time.Duration {
	for range min(max(times, 0), 30) {
		d = min(2*d, most)
	}
	return d
}

func (s *State) dialWait(fails int) time.Duration {
	return doubled(firstDial, fails, s.cfg.MostPause)
}
