// Package lease limits the rate of requests to a target over all entries together. A cold
// target has just started, and crashes if it gets more than a certain number of requests in a
// second; other targets name a limit in their responses while they need one. No entry knows
// how many others there are, so the side next to the target counts: it grants permits, each
// for one request and for a short time, from a Ledger while the target is cold and from a
// Bucket by the limit that it names. An entry sends such a target only requests for which it
// holds a permit. Targets without a side get a share of the limit from each entry.
//
// Packages place and loads use it; package hosted connects them.
package lease

import "time"

// Lifetime is how long after it was asked for a permit may be used. It covers a round trip
// between regions and the wait for a connection to the target.
const Lifetime = 300 * time.Millisecond

// window is the time over which a Ledger counts what it has granted. A request that is
// sent within a second has used a permit granted in that second or up to Lifetime before.
const window = time.Second + Lifetime

// usableShare is the share of the tolerated rate that is granted. The rest covers
// requests that are delayed between the use of their permit and the target.
const usableShare = 0.8

// Bound says how far above its declared rate a cold target tolerates requests: in one
// second, Overshoot times that rate and Slack more.
type Bound struct {
	Overshoot float64
	Slack     float64
}

// PerSecond returns how many requests a cold target may be sent in a second, given the
// rate that it declares; 0 if it declares none and needs no limit.
func (b Bound) PerSecond(rate float64) int {
	if rate <= 0 {
		return 0
	}
	return max(1, int(usableShare*(rate*max(b.Overshoot, 1)+b.Slack)))
}

// Ledger holds what a side has granted. The zero value is ready. It is not safe for
// concurrent use.
type Ledger struct {
	grants []grant
	// blockedUntil is when the first permit may be granted.
	blockedUntil time.Duration
}

type grant struct {
	at time.Duration
	n  int
}

// Grant grants up to want permits and returns how many, such that perSecond is kept. now is
// a clock that keeps counting while the machine is suspended.
func (l *Ledger) Grant(now time.Duration, want, perSecond int) int {
	if now < l.blockedUntil {
		return 0
	}
	for len(l.grants) > 0 && now-l.grants[0].at > window {
		l.grants = l.grants[1:]
	}
	granted := 0
	for _, g := range l.grants {
		granted += g.n
	}
	n := max(0, min(want, perSecond-granted))
	if n > 0 {
		l.grants = append(l.grants, grant{at: now, n: n})
	}
	return n
}

// AssumeGranted records that an earlier run of this side may just have granted all permits.
func (l *Ledger) AssumeGranted(now time.Duration) { l.blockedUntil = now + window }
