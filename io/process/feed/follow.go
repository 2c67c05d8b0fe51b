package feed

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// relayRetry is the mean time for which an upstream that reports is kept after no relay
	// did. A relay that has ended is replaced by the next in rank once the platform no
	// longer lists it.
	relayRetry = 4 * time.Second
	// relaysPerRound is how many relays are tried before the upstreams: machines without
	// power do not answer, and each costs the time-out of a connection.
	relaysPerRound = 2
)

// shouldTryRelays reports whether to leave an upstream that reports for a relay.
func (f *Feed) shouldTryRelays() bool {
	return f.Relays != nil && !f.Clock.Now().Before(f.nextRelayTry) && len(f.Relays()) > 0
}

// followRelays follows some of the relays one after the other, each until it fails.
func (f *Feed) followRelays(ctx context.Context) {
	if f.Relays == nil {
		return
	}
	relays := shuffled(f.Relays())
	for _, p := range relays[:min(relaysPerRound, len(relays))] {
		_, err := f.followUpstream(ctx, p, f.isRelayNow)
		if ctx.Err() != nil {
			return
		}
		f.logUpstreamLost(p, err)
	}
	f.nextRelayTry = f.Clock.Now().Add(relayRetry/2 + rand.N(relayRetry))
}

// followReaders follows the upstreams one after the other until one that has reported
// fails, or is left for a relay; the relays are to be tried then. Otherwise it reports
// whether an upstream has only just started.
func (f *Feed) followReaders(ctx context.Context) (starting, tryRelays bool) {
	for _, p := range shuffled(f.Upstreams()) {
		reported, err := f.followUpstream(ctx, p, f.shouldTryRelays)
		if ctx.Err() != nil {
			return false, false
		}
		if reported && f.Relays != nil {
			f.logUpstreamLost(p, err)
			return false, true
		}
		starting = starting || errors.Is(err, errUpstreamEmpty) || errors.Is(err, syscall.ECONNREFUSED)
		f.logUpstreamLost(p, err)
	}
	return starting, false
}

// isRelayNow reports whether this process has become a relay, which must not follow others.
func (f *Feed) isRelayNow() bool { return f.IsRelay != nil && f.IsRelay() }

// shuffled returns the peers in random order.
func shuffled(peers []Peer) []Peer {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}
