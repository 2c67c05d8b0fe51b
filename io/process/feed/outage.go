package feed

import "time"

// recordStoreAnswer records that the store answered a call that normally takes
// at most maxDuration, and whether it has come back after an outage. That is so
// if no process is known to have reached it for minOutage longer than that, or
// if an upstream replied minOutage or more after the store was last known to be
// up. f.mu must be held.
func (f *Feed) recordStoreAnswer(maxDuration time.Duration) {
	now := f.Uptime()
	if f.known && (now-f.storeUpUntil > maxDuration+minOutage || f.upstreamRepliedAt-f.storeUpUntil > minOutage) {
		f.storeBackAt = f.Clock.Now()
	}
	f.storeUpUntil = now
	f.storeLost = false
	f.answerDue = 0
}

// expectAnswer records that the store's answer to a call is due at the given time,
// unless an earlier call was not answered either. f.mu must be held.
func (f *Feed) expectAnswer(due time.Duration) {
	if f.answerDue == 0 {
		f.answerDue = due
	}
}

// storeLateness is how late the store's answer to the present call is; negative if
// it is not due yet, zero if none is awaited. f.mu must be held.
func (f *Feed) storeLateness() time.Duration {
	if f.answerDue == 0 {
		return 0
	}
	return f.Uptime() - f.answerDue
}

// recordPeerReply records the reply of a peer whose state has the given age. A
// state as young as that of a process in contact with the store shows that the
// store is up. Only an upstream's replies to requests that wait for a change
// come without gaps, so only these can show that the store is down. f.mu must
// be held.
func (f *Feed) recordPeerReply(waited bool, age time.Duration) {
	now := f.Uptime()
	f.storeUpUntil = max(f.storeUpUntil, now-max(0, age-maxReaderAge))
	if waited {
		f.upstreamRepliedAt = now
	}
}

// discountSilence is called when the attempt to follow upstreams that began at
// the given time has ended. It adds the time since the last reply to
// storeUpUntil and upstreamRepliedAt. While upstreams are silent nothing is
// known of the store, so that time must not count as an outage: a target that
// had left was used on as one that may register again.
func (f *Feed) discountSilence(began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Uptime()
	silent := now - max(began, f.upstreamRepliedAt)
	f.storeUpUntil = min(now, f.storeUpUntil+silent)
	f.upstreamRepliedAt += silent
}
