package spread

import "time"

// Timeouts, retry delays and limits of failures.
const (
	// initialTimeoutFactor times MinTimeout is the timeout of a transfer before
	// any duration has been measured.
	initialTimeoutFactor = 10
	// maxTimeout bounds the timeouts that are derived from measured durations. A larger
	// one keeps a stalled transfer for longer on slow links.
	maxTimeout = 60 * time.Second
	// timeoutFactor is how many times the mean duration a transfer may take.
	timeoutFactor = 4
	// maxDurationFactor is how many times its timeout a transfer from a peer may
	// last although bytes keep coming.
	maxDurationFactor = 4
	// unreachableFactor is for how many rank delays a chunk that the region is said to
	// hold may stay unreachable.
	unreachableFactor = 1
	// maxAvoidBackoffs bounds, in multiples of MaxBackoff, how long a peer is avoided.
	// The first time it is avoided for the timeout of a trade; each further fault in
	// a row doubles that.
	maxAvoidBackoffs = 12
	// cutOffFactor is for how many import timeouts the region upstream may send
	// nothing before it is assumed to be cut off from the origin. probesPerLimit is
	// how many times the origin is probed within that time. originReturnBackoffs is
	// how many MaxBackoff, once the origin answers, that region has to send something.
	cutOffFactor         = 12
	probesPerLimit       = 4
	originReturnBackoffs = 2
	// maxQueueBackoffs bounds, in multiples of MaxBackoff, how long a request waits on
	// this side for the machine's link.
	maxQueueBackoffs = 4
	// maxStalls is how many stalls in a row are tolerated before the connection to
	// a peer is closed.
	maxStalls = 2
	// suspectDuration is how long a side that did not fetch a chunk in time is skipped.
	suspectDuration = 30 * time.Second
	// downDuration is the same for a side that does not run: it may be restarted.
	downDuration = 4 * time.Second
	// maxFailedTrades is how many times neighbours may fail to send a chunk before it
	// is fetched again for the region.
	maxFailedTrades = 2
	// minRetryDelay is the delay before the first retry of a chunk, minDialDelay the one
	// before the second attempt to connect to a peer. Each further failure doubles it, up
	// to Config.MaxBackoff.
	minRetryDelay = 100 * time.Millisecond
	minDialDelay  = 200 * time.Millisecond
)

// movingMean is an exponentially weighted mean of durations.
type movingMean struct {
	mean time.Duration
	n    int
}

func (e *movingMean) add(d time.Duration) {
	e.n++
	if e.n == 1 {
		e.mean = d
		return
	}
	e.mean += (d - e.mean) / 8
}

// durations holds how long recent transfers by one route took: receive from the first
// byte, total from the request, including the time in which the peer was still fetching
// the chunk.
type durations struct {
	receive movingMean
	total   movingMean
}

// recordDuration adds a finished transfer to the mean durations of its route.
func (s *State) recordDuration(c *chunkState, now time.Time) {
	t := s.durationsOf(c.via)
	t.receive.add(now.Sub(c.firstByteAt))
	t.total.add(now.Sub(c.startedAt))
}

func (s *State) durationsOf(v Via) *durations {
	t, ok := s.durations[v]
	if !ok {
		t = &durations{}
		s.durations[v] = t
	}
	return t
}

// transferTimeout is timeoutFactor times the mean duration of recent transfers, counted
// from the first byte and kept within MinTimeout and maxTimeout.
func (s *State) transferTimeout(v Via) time.Duration { return s.timeoutFrom(s.durationsOf(v).receive) }

// startTimeout is how long a transfer may take to deliver its first byte, and
// how long a side waits for the one that ranks before it.
func (s *State) startTimeout(v Via) time.Duration { return s.timeoutFrom(s.durationsOf(v).total) }

func (s *State) timeoutFrom(e movingMean) time.Duration {
	if e.n == 0 {
		return initialTimeoutFactor * s.cfg.MinTimeout
	}
	return min(max(timeoutFactor*e.mean, s.cfg.MinTimeout), maxTimeout)
}

// rankDelay is how long the side at a rank waits for those before it, counted from when
// the chunk became due. While the upstream is unavailable each of those may be in the
// longest retry delay.
func (s *State) rankDelay(up string, selfRank int) time.Duration {
	via := ViaImport
	if up == "" {
		via = ViaOrigin
	}
	each := max(s.startTimeout(via), minRankDelay)
	if s.unavailable[up] {
		each += s.cfg.MaxBackoff
	}
	return time.Duration(selfRank) * each
}

// expireTransfers ends transfers past their deadline and frees the upload slots of
// peers that stopped requesting.
func (s *State) expireTransfers(now time.Time) {
	for _, c := range s.pendingChunks() {
		if now.Before(c.deadline) {
			continue
		}
		why := c.timeoutReason()
		s.emit(StopTransfer{Chunk: c.ref.Digest, Peer: c.source, Reason: string(why)})
		s.handleFailure(now, c, why, 0)
	}
	for _, p := range s.sortedPeers {
		if p.uploads > 0 && now.After(p.uploadDeadline) {
			// The peer accepted an offer and then did nothing. If the slot stayed in
			// use, a few such peers would take all of them.
			s.releaseSlots(p)
			s.recordFault(now, p.Name, FailStalled)
		}
	}
}

// timeoutReason says why a transfer has passed its deadline.
func (c *chunkState) timeoutReason() Failure {
	switch {
	case c.queued:
		return FailQueueTimeout
	case c.awaitingPeer:
		return FailDeferred
	default:
		return FailStalled
	}
}

// pendingChunks lists the chunks in transfer, in a fixed order.
func (s *State) pendingChunks() []*chunkState {
	var out []*chunkState
	for _, v := range s.versions {
		for i, c := range v.chunks {
			if c.pending() && c.positions[0] == (position{version: v, index: i}) {
				out = append(out, c)
			}
		}
	}
	return out
}

// handleFailure records a failed transfer against its source and decides when the chunk may
// be requested again. after is the Retry-After of the origin, zero otherwise.
func (s *State) handleFailure(now time.Time, c *chunkState, why Failure, after time.Duration) {
	s.recordFault(now, c.source, why)
	if c.via == ViaTrade && why != FailDisconnected && why != FailQueueTimeout {
		c.failedTrades++
	}
	switch {
	case why == FailDeferred:
		// The import goes on after another side has been asked: the one that ranks
		// first may be the only one upstream that lacks the chunk.
		c.deferrals++
	case why == FailQueueTimeout:
	case c.via != ViaTrade:
		c.attempts++
		c.failedAt = now
		c.retryAt = now.Add(max(after, s.retryDelay(c, why)))
		c.failures++
	}
	if c.via == ViaOrigin && why != FailQueueTimeout {
		c.attempts, c.deferrals = 0, 0
		s.noteOriginResult(now, false)
		s.markUnavailable(now, "")
	}
	if why == FailNotHeld {
		s.dropClaim(c)
	}
	s.clearPending(c)
	c.probing = why == FailDeferred
	s.fetchesDue = true
	s.sendAcceptOffers()
}

// retryDelay is how long a chunk is not requested after its source failed: zero while
// another side upstream can be asked in place of one that disconnected.
func (s *State) retryDelay(c *chunkState, why Failure) time.Duration {
	at := c.positions[0]
	if c.via == ViaImport && why == FailDisconnected && c.attempts < len(at.version.members[at.upstream()]) {
		return 0
	}
	d := backoff(minRetryDelay, c.failures, s.cfg.MaxBackoff)
	if c.via == ViaOrigin {
		return s.probeDelay(d)
	}
	return d
}

// recordFault makes this side avoid a peer for a while after a fault. Otherwise the
// next pick would often be the same peer and the chunk would never arrive.
func (s *State) recordFault(now time.Time, name string, why Failure) {
	p, ok := s.peers[name]
	if !ok || why == FailDisconnected || why == FailDeferred || why == FailQueueTimeout {
		return
	}
	p.consecutiveFaults++
	p.lastFaultStalled = why == FailStalled
	if why == FailStalled && p.consecutiveFaults > maxStalls && p.connected {
		// A connection can stop working for good while a new one would work.
		s.emit(Disconnect{Peer: name})
	}
	p.avoidUntil = now.Add(backoff(s.transferTimeout(ViaTrade), p.consecutiveFaults-1, maxAvoidBackoffs*s.cfg.MaxBackoff))
	if p.avoidUntil.After(s.avoidEnd) {
		s.avoidEnd = p.avoidUntil
	}
}

// dropClaim forgets that a peer announced a chunk that it could not send.
func (s *State) dropClaim(c *chunkState) {
	p, ok := s.peers[c.source]
	if !ok {
		return
	}
	for _, pl := range c.positions {
		m := p.heldChunks[pl.version.id]
		if !m.Has(pl.index) {
			continue
		}
		m.Clear(pl.index)
		if pl.version.neighbourCopies[pl.index] > 0 && s.near(p) {
			pl.version.neighbourCopies[pl.index]--
		}
	}
}

func (s *State) resetFaults(name string) {
	if p, ok := s.peers[name]; ok {
		p.consecutiveFaults = 0
	}
}

// backoff returns d doubled the given number of times, at most most.
func backoff(d time.Duration, times int, most time.Duration) time.Duration {
	for range min(max(times, 0), 30) {
		d = min(2*d, most)
	}
	return d
}

func (s *State) dialDelay(fails int) time.Duration {
	return backoff(minDialDelay, fails, s.cfg.MaxBackoff)
}
