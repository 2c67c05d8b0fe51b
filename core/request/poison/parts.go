package poison

import (
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/ttlmap"
)

// Thresholds at which a part of prompts is blocked.
const (
	// maxCrashMoments is the number of distinct moments at which attempts with a part must
	// have broken off, whenever they were sent. Requests with the same part may come faster
	// than their targets crash, and then hardly one is sent after another one's failure.
	maxCrashMoments = 5
	// maxSoundCrashMoments is the same for a part that requests have completed with. Such a
	// part is at many targets at a time, and breaks off at each crash that another causes.
	maxSoundCrashMoments = maxFailures
	// soundBlockDuration is how long after its last failure a part is refused that requests
	// have completed with. While a part that all callers use is refused, nothing can show that
	// it is harmless.
	soundBlockDuration = 5 * time.Second
	// momentDuration is the time within which failures count as one moment, as when several
	// targets crash together.
	momentDuration = 100 * time.Millisecond
)

// Bounds of the memory for parts that requests have completed with.
const (
	maxSoundParts = 4096
	soundPartTTL  = blockDuration
)

// maxPartIDLen is the longest ID that is told apart from others.
const maxPartIDLen = 64

// PartID identifies a part of prompts. Many requests may have the same part.
type PartID string

// NewPartID returns the PartID of the part with the given ID, which is cut if it is too long.
func NewPartID(id string) PartID { return PartID(id[:min(len(id), maxPartIDLen)]) }

// Check returns an error if the ID is invalid.
func (p PartID) Check() error {
	if p == "" || len(p) > maxPartIDLen {
		return errors.Newf("prompt part with an ID of %d bytes: want 1 to %d", len(p), maxPartIDLen)
	}
	return nil
}

// Identity is what identifies a request that may crash targets: its own fingerprint, and the
// parts of its prompt that other requests may have, too.
type Identity struct {
	Request Fingerprint
	Parts   []PartID
}

// PartLedger classifies parts of prompts. A request that crashes its target may do so
// because of any of its parts, and all requests under way at the target break off with it.
// A part is therefore blocked only if attempts with it break off again and again and none
// completes in between. A request with such a part is still let through if a few parts that
// it lacks may have caused the same crashes. The zero value is ready to use. It isn't safe
// for concurrent use.
type PartLedger struct {
	records[PartID]
	// sound holds when a request with a part last completed, also of parts without a record.
	sound ttlmap.Map[PartID, time.Time]
}

// RecordFailure records that an attempt of a request with a part, sent at sentAt, broke off
// at a target start after its answer had been going on for ran. It reports whether that
// changes what is known of the part.
func (l *PartLedger) RecordFailure(now, sentAt time.Time, p PartID, at Incarnation, ran time.Duration) bool {
	if ran >= MinInnocentRun {
		return l.RecordSuccess(now, p)
	}
	l.startTTL = blockDuration
	l.recordFailure(now, sentAt, p, at)
	l.ApplyOwnSuccess(now, p)
	return true
}

// RecordSuccess records that a request with a part has completed, or that its answer has been
// going on for MinInnocentRun. It reports whether that clears the part of failures.
func (l *PartLedger) RecordSuccess(now time.Time, p PartID) bool {
	l.sound.MaxEntries, l.sound.TTL = maxSoundParts, soundPartTTL
	l.sound.Put(now, p, now)
	return l.records.RecordSuccess(now, p)
}

// ApplyOwnSuccess applies the last success that this ledger has recorded to the record of the
// part, which may have come from another process, and reports whether that changes it.
func (l *PartLedger) ApplyOwnSuccess(now time.Time, p PartID) bool {
	at, known := l.sound.Get(now, p)
	r := l.record(now, p)
	return known && r != nil && r.mergeSuccess(now, true, now.Sub(at))
}

// Merge adds another process's note to the ledger as records.Merge does.
func (l *PartLedger) Merge(now time.Time, n Note[PartID]) bool {
	l.startTTL = blockDuration
	return l.records.Merge(now, n)
}

// State returns the classification of a part, regardless of which requests have it.
func (l *PartLedger) State(now time.Time, p PartID) State {
	r := l.record(now, p)
	if r == nil {
		return StateClear
	}
	n, _ := r.suspectedCrashes()
	switch {
	case r.mayCrashTargets():
		return StateBlocked
	case n >= suspectThreshold:
		return StateSuspected
	default:
		return StateClear
	}
}

// Blocked reports whether a request with the given parts is refused, and after what time its
// caller may retry. The look-up renews the records, so that a part that is refused all the
// time is not forgotten.
func (l *PartLedger) Blocked(now time.Time, parts []PartID) (time.Duration, bool) {
	var wait time.Duration
	blocked := false
	for _, p := range parts {
		r := l.record(now, p)
		if r == nil {
			continue
		}
		l.put(now, p, r)
		if !r.mayCrashTargets() || l.othersMayBeCause(now, r, parts) {
			continue
		}
		if d, ok := r.partBlockedFor(now); ok {
			wait, blocked = max(wait, d), true
		}
	}
	return wait, blocked
}

// partBlockedFor returns how much longer a part is refused that may crash targets, or false if
// it isn't any more.
func (r *record) partBlockedFor(now time.Time) (time.Duration, bool) {
	failures := r.unexplainedFailures()
	last := failures[len(failures)-1].at
	if r.hasSucceeded() {
		return blockedFor(now, last, soundBlockDuration)
	}
	return blockedFor(now, last, blockDuration)
}
