package hosted

import "time"

// How long one watch of the store waits, and one question to a teller.
const (
	// entryWait and sideWait are how long one watch of the store waits at the most. An
	// entry must vouch for keys and confirms its belief that often; a side
	// only has to hear of changes. entryTold and sideTold are the same for one
	// that is told by a peer: a teller that froze costs an entry little more than
	// half a second, of the two within which a configuration is to be in force.
	entryWait = 800 * time.Millisecond
	sideWait  = 4 * time.Second
	entryTold = 500 * time.Millisecond
	sideTold  = 2 * time.Second
	// sideRest is how long a side leaves the store to the entries that tell it when
	// its own calls fail too: sides are the most processes by far, and vouch for
	// nothing to callers.
	sideRest = 2400 * time.Millisecond
	// toldShare is the part of its wait at the store for which an entry waits at a
	// teller.
	toldShare = float64(entryTold) / float64(entryWait)
	// leastWait keeps watches from following on each other without a pause where the
	// bounds are shorter than any wait could keep to.
	leastWait = 100 * time.Millisecond
	// watchSlack is what the calls themselves take, to the store and between peers.
	watchSlack = 200 * time.Millisecond
)

// entryWaits returns how long an entry waits at the store and at a teller. The belief
// of a reader is as old as two of its watches, and that of one who is told older by a
// wait of its own. An entry that confirms its belief more seldom than the bounds let
// it vouch for keys and routes would refuse good requests with nothing amiss.
func entryWaits(b Bounds) (store, teller time.Duration) {
	store = entryWait
	if b.Apply > 0 {
		store = min(store, (scaled(b.Apply, tableShare)-watchSlack)/2)
	}
	if b.StrictKeys {
		store = min(store, scaled(scaled(b.Revoke, keyShare)-watchSlack, 1/(2+toldShare)))
	}
	store = max(store, leastWait)
	return store, scaled(store, toldShare)
}
