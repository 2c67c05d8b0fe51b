// Package feed keeps a process's belief of the platform: it lists and watches
// the platform's store, asks peers while the store does not answer, and hands
// out facts with the age of what they rest on.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/naming"
	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/link"
)

// Times of the feed.
const (
	// callTimeout bounds what a watch takes beyond its wait. The store answers in
	// milliseconds, and well within that when it is many times slower.
	callTimeout = time.Second
	// listTimeout is the same for one page of a list. A page of a few hundred
	// items takes its time on a region link that others use as well; given up
	// sooner and asked for again by all, pages would fill the link for good.
	listTimeout = 4 * time.Second
	// leastPause parts two calls after one that brought changes. Changes come
	// in bursts of ten and more a second; each watch would return with one. It is
	// well under naming.MostGap.
	leastPause = 100 * time.Millisecond
	// firstRetry and mostRetry part calls that failed.
	firstRetry = 100 * time.Millisecond
	mostRetry  = 800 * time.Millisecond
	// tellersRetry parts the tries at the tellers of a process that leaves the store
	// to them, and startWait is for how long one does that starts with them.
	tellersRetry = 200 * time.Millisecond
	startWait    = 800 * time.Millisecond
	// returnGrace is how long a target that is missing when the store comes
	// back is kept: targets that live register anew within two seconds.
	returnGrace = 1800 * time.Millisecond
	// lapseEvery is how often the grace of missing targets is looked at.
	lapseEvery = 250 * time.Millisecond
	// outage is the gap between two answers from which the store counts as
	// having been away.
	outage = time.Second
	// readerLag is how old the belief of a process that reads the store is at
	// most while that answers: it is as old as the start of the last watch that
	// has ended, so two waits of an entry.
	readerLag = 1600 * time.Millisecond
)

// Feed holds the belief. Set the exported fields before Run.
type Feed struct {
	Self    *link.Self
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope
	Store   Store
	Reader  Reader
	// Awake is a clock that also counts the time in which the machine was
	// suspended; ages are measured on it.
	Awake func() time.Duration
	// RanSince, when set, reports whether this process ran without a standstill
	// from a moment on Awake until now.
	RanSince func(at time.Duration) bool
	// Wait is how long one watch waits: the belief is confirmed that often.
	Wait time.Duration
	// Drain bounds how long a target may be used after it was removed.
	Drain time.Duration
	// Peers returns the processes to ask while the store does not answer.
	Peers func() []Peer
	// Readers returns the processes among them that watch the store for others.
	Readers func() []Peer
	// Tellers, when set, returns the processes to be told by: the store is
	// read only while none of them can tell. A few read for all others, since
	// the store's rate does not grow with the fleet.
	Tellers func() []Peer
	// StoreRest is how long a process that has tellers leaves the store to them after
	// its own calls have failed too; zero for one that goes on calling. A whole fleet
	// that calls a store which is away has spent its rate when that returns.
	StoreRest time.Duration
	// TellWait is how long this process waits for a change at its teller: the
	// belief is confirmed that often, and a teller that has fallen silent shows
	// after little more.
	TellWait time.Duration

	mu      sync.Mutex
	items   map[string]Item
	gone    removals
	facts   map[string]Fact
	lapsing map[string]time.Time
	namings naming.Ledger
	// asked is how often peers were asked when the newest version was named, and
	// askAt when, on Awake, they are asked next.
	asked    int
	askAt    time.Duration
	revision uint64
	// confirmed is when, on Awake, the belief was last known to be true.
	confirmed time.Duration
	known     bool
	// answered is until when, on Awake, the store's last answer tells.
	answered time.Duration
	// failed is when, on Awake, a call of this process to the store last failed.
	failed time.Duration
	// lost is set while the last two calls of this process to the store have failed.
	lost bool
	// upUntil is the latest moment, on Awake, at which the store is known to have
	// answered anybody; toldAt is until when a teller told. Both are moved on over
	// the silence of tellers.
	upUntil   time.Duration
	toldAt    time.Duration
	backSince time.Time
	current   atomic.Pointer[facts.Facts]
	changed   chan struct{}
	prepared  sync.Once
	// tellersAgain is when the tellers are tried again after none told, and
	// storeAgain when the store is called again after it failed. Run alone uses both.
	tellersAgain time.Time
	storeAgain   time.Time
	// storeUp and told are what was last written down.
	storeUp bool
	told    bool
}

func (f *Feed) init() {
	f.prepared.Do(func() {
		f.items = map[string]Item{}
		f.facts = map[string]Fact{}
		f.lapsing = map[string]time.Time{}
		f.changed = make(chan struct{})
		f.current.Store(&facts.Facts{})
		if f.Metrics == nil {
			f.Metrics = tally.NoopScope
		}
	})
}

// Current returns the belief.
func (f *Feed) Current() *facts.Facts {
	f.init()
	return f.current.Load()
}

// Changed returns a channel that is closed at the next change of the belief.
func (f *Feed) Changed() <-chan struct{} {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Age returns how long ago the belief was last confirmed by the store, by
// this process or by the peer that told it. It returns false while nothing is
// believed.
func (f *Feed) Age() (time.Duration, bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Awake() - f.confirmed, f.known
}

// Run follows the store until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	f.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.askPeers(ctx) })
	wg.Go(func() { f.askNamed(ctx) })
	pause := time.Duration(0)
	fails := 0
	started := f.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.Clock.After(pause):
		}
		starting := f.beTold(ctx)
		if f.leavesStore(starting, started) {
			pause = tellersRetry/2 + rand.N(tellersRetry)
			continue
		}
		began := f.Clock.Now()
		err := f.step(ctx)
		f.noteStore(err)
		if err != nil {
			f.callFailed(fails)
			pause = retryPause(fails)
			if fails > 0 && f.StoreRest > 0 {
				f.storeAgain = f.Clock.Now().Add(f.StoreRest/2 + rand.N(f.StoreRest))
			}
			fails++
			continue
		}
		fails = 0
		pause = max(0, leastPause-f.Clock.Since(began))
	}
}

// leavesStore reports whether this process does not call the store now: its calls
// have failed, and the tellers hear of the return; or it starts together with them,
// and will be told in a moment.
func (f *Feed) leavesStore(starting bool, started time.Time) bool {
	if f.StoreRest <= 0 {
		return false
	}
	if _, known := f.Age(); !known && starting && f.Clock.Since(started) < startWait {
		return true
	}
	return f.Clock.Now().Before(f.storeAgain)
}

// upstreamPause is how long this process keeps to the store after none of its tellers
// told.
func (f *Feed) upstreamPause() time.Duration {
	if f.StoreRest > 0 {
		return tellersRetry
	}
	return tellersRest
}

// beTold follows one of the tellers until it fails. It reports whether one of them
// has only just started.
func (f *Feed) beTold(ctx context.Context) (starting bool) {
	resting := f.Clock.Now().Before(f.tellersAgain) && !f.Clock.Now().Before(f.storeAgain)
	if f.Tellers == nil || resting {
		return false
	}
	began := f.Awake()
	defer func() { f.passOver(began) }()
	tellers := f.Tellers()
	rand.Shuffle(len(tellers), func(i, j int) { tellers[i], tellers[j] = tellers[j], tellers[i] })
	for _, p := range tellers {
		err := f.followPeer(ctx, p)
		if ctx.Err() != nil {
			return false
		}
		starting = starting || errors.Is(err, errNewTeller) || errors.Is(err, syscall.ECONNREFUSED)
		f.Log.Decide(trail.Decision{
			Area: trail.AreaConfig, Action: "tellerLost", Choice: p.Address.String(), Reason: err.Error(),
			Revision: f.Self.Revision.Load(),
		})
	}
	if _, known := f.Age(); known {
		f.tellersAgain = f.Clock.Now().Add(f.upstreamPause())
	}
	return starting
}

func retryPause(fails int) time.Duration {
	bound := min(firstRetry<<min(fails, 8), mostRetry)
	return bound/2 + rand.N(bound/2)
}
