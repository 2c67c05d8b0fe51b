package feed

import "time"

// storeAnswered notes that the store answered a call that may take up to most while
// all is well, and whether it is back after it was away: nobody was in touch with it
// for longer, or the teller that was left had lost it too. It is called with the
// feed locked.
func (f *Feed) storeAnswered(most time.Duration) {
	now := f.Awake()
	if f.known && (now-f.upUntil > most+outage || f.toldAt-f.upUntil > outage) {
		f.backSince = f.Clock.Now()
	}
	f.upUntil = now
	f.lost = false
}

// peerTold notes that a peer answered whose belief has the given age; it is called
// with the feed locked. One as young as that of a reader in touch tells that the
// store is up. Only the answers that a teller gives to one who waits for news come
// without a gap, and tell that the store is away.
func (f *Feed) peerTold(waited bool, age time.Duration) {
	now := f.Awake()
	f.upUntil = max(f.upUntil, now-max(0, age-readerLag))
	if waited {
		f.toldAt = now
	}
}

// passOver notes that a try to be told, which began at the given moment, has ended.
// The tellers' silence since the last answer says nothing of the store: taken for
// an outage, a target that left was used on as one that may register anew.
func (f *Feed) passOver(began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Awake()
	silent := now - max(began, f.toldAt)
	f.upUntil = min(now, f.upUntil+silent)
	f.toldAt += silent
}
