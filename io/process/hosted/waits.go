package hosted

import "time"

// Timeouts of one watch (long poll) of the store, and of one at a peer that passes on the
// store's state.
const (
	// entryStoreWait and sideStoreWait are the maximum durations of one watch of the
	// store. An entry must know that keys are still valid, and confirms its copy of the
	// state that often; a side only needs to learn of changes. entryPeerWait and
	// sidePeerWait are the same for a watch at a peer: if that peer freezes, an entry
	// loses little more than half a second of the two within which a configuration must
	// take effect.
	entryStoreWait = 800 * time.Millisecond
	sideStoreWait  = 4 * time.Second
	entryPeerWait  = 500 * time.Millisecond
	sidePeerWait   = 2 * time.Second
	// sideStoreBackoff is how long a side leaves the store to the entries that watch it
	// after the side's own calls have failed too. By far most processes are sides,
	// and they accept no keys from callers.
	sideStoreBackoff = 2400 * time.Millisecond
	// peerWaitShare is an entry's wait at a peer as a fraction of its wait at the store.
	peerWaitShare = float64(entryPeerWait) / float64(entryStoreWait)
	// minWait keeps watches from following each other without a pause if the bounds are
	// too short for any wait.
	minWait = 100 * time.Millisecond
	// watchOverhead is the time taken by the calls themselves, to the store and between
	// peers.
	watchOverhead = 200 * time.Millisecond
	// storeLateness is how late the store's answers to an entry that reads it may be
	// before the entries that follow that one leave it. minStoreLateness applies if the
	// bounds leave less.
	storeLateness    = 1400 * time.Millisecond
	minStoreLateness = 100 * time.Millisecond
	// changeUpstreamTime is the time that an entry needs to leave its upstreams, one
	// after the other, and to read the store itself.
	changeUpstreamTime = 500 * time.Millisecond
)

// entryWaits returns the duration of an entry's watches at the store and at a peer. The
// copy of the state in an entry that reads the store is up to two of its watches old; in
// one that watches a peer, it is older by one wait at the peer. An entry that confirms its
// copy less often than the bounds require for keys and routes would refuse valid requests
// without any fault in the system.
func entryWaits(b Bounds) (store, peer time.Duration) {
	store = entryStoreWait
	if b.ConfigDelay > 0 {
		store = min(store, (scaleDuration(b.ConfigDelay, tableShare)-watchOverhead)/2)
	}
	if b.StrictKeys {
		store = min(store, scaleDuration(scaleDuration(b.RevocationDelay, keyShare)-watchOverhead, 1/(2+peerWaitShare)))
	}
	store = max(store, minWait)
	return store, scaleDuration(store, peerWaitShare)
}

// maxStoreLateness returns how late the store's answer to an upstream may be before an
// entry leaves the upstream. storeWait is the duration of the upstream's watches. If the
// store stops answering the upstream, the entry still gets a new configuration within the
// bound.
func maxStoreLateness(b Bounds, storeWait time.Duration) time.Duration {
	if b.ConfigDelay <= 0 {
		return storeLateness
	}
	return max(min(storeLateness, b.ConfigDelay-storeWait-changeUpstreamTime), minStoreLateness)
}
