package burst

import (
	"time"

	"hawthornferry/core/version/chunk"
)

// Requested tells that the source has been asked: until then a transfer waits
// for its turn on this machine's link, which is no fault of the source's.
func (s *State) Requested(now time.Time, d chunk.Digest) {
	it, ok := s.items[d]
	if !ok || !it.queued {
		return
	}
	it.queued = false
	it.began = now
	it.deadline = now.Add(s.startPatience(it.via))
}

// Progressed tells that some bytes of a transfer came in. Once they flow, a
// pause as long as a whole transfer means that it has stalled. A transfer from
// a peer may not trickle for ever either.
func (s *State) Progressed(now time.Time, d chunk.Digest) []Action {
	it, ok := s.items[d]
	if !ok || !it.pending() {
		return nil
	}
	it.queued = false
	if !it.flowing {
		// The time that the peer needed to get the chunk itself says
		// nothing of how long a transfer takes.
		it.flowing = true
		it.since = now
	}
	p := s.patience(it.via)
	pause := max(p/stallFactor, s.cfg.LeastPatience)
	if it.via == ViaImport {
		// An exporter serves several regions and its own; begun anew, an
		// import crosses the region link twice.
		pause = s.startPatience(it.via)
	}
	it.deadline = now.Add(pause)
	last := it.since.Add(trickleFactor * p)
	if it.via != ViaOrigin && it.deadline.After(last) {
		it.deadline = last
	}
	s.passTurn(now, it)
	return s.settle(now)
}

// Deferred tells that the peer of an import wants the chunk too and still lacks
// it. That is no fault of the peer's, nor of the sides of the own region that
// rank before this one; only the first in rank waits there, or the chunk would
// cross the region link once for each that does.
func (s *State) Deferred(now time.Time, d chunk.Digest, from string) []Action {
	it, ok := s.items[d]
	if !ok || it.via != ViaImport || it.from != from || it.flowing || it.later {
		return nil
	}
	if s.steppedIn(it) {
		s.trouble(now, it.places[0].upstream())
	}
	if it.lackedSince.IsZero() {
		it.lackedSince = now
	}
	// Without the suspicions that ended just now this side may rank first.
	if stepped := s.steppedIn(it); stepped || it.probing {
		s.emit(Stop{Chunk: d, Peer: from, Reason: string(FailLater)})
		s.clearPending(it)
		if stepped {
			it.dueAt, it.lostAt = now, now
			it.laters++
			it.probing = true
		}
		s.stale = true
		return s.settle(now)
	}
	it.later = true
	it.deadline = now.Add(s.cfg.LeastPatience)
	return s.settle(now)
}

// Asked tells that all of an import has been asked for.
func (s *State) Asked(now time.Time, d chunk.Digest) []Action {
	it, ok := s.items[d]
	if !ok || it.via != ViaImport {
		return nil
	}
	it.asked = true
	s.passTurn(now, it)
	return s.settle(now)
}

// passTurn passes on the turn of an import once all of it has been asked for and
// its bytes flow: its share of the region link is spent while the last of them come
// in. The region is told that the chunk is there; should the import fail after all,
// this side at once begins anew. An exporter that still lacks the chunk spends
// nothing, and may never have it.
func (s *State) passTurn(now time.Time, it *item) {
	if !it.asked || !it.flowing || it.early {
		return
	}
	it.early = true
	for _, pl := range it.places {
		s.spread(now, pl.set, []int{pl.index}, "")
	}
}

// Failed tells that a transfer ended without the chunk. After is how long the
// origin asked to be left alone, zero otherwise.
func (s *State) Failed(now time.Time, d chunk.Digest, from string, why Failure, after time.Duration) []Action {
	it, ok := s.items[d]
	if !ok || !it.pending() || it.from != from {
		return nil
	}
	s.failed(now, it, why, after)
	return s.settle(now)
}
