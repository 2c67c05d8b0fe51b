// Package feed keeps a process's copy of the platform's state (configuration,
// targets and model versions) up to date. Package hosted runs one Feed in each
// process and reads its facts; package platform implements its Store and
// Decoder. A Feed gets the state from upstreams if it has any, else it lists and
// watches the platform's store itself. While neither answers, it asks other
// peers. Each state comes with the time at which it was last known to be
// current.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/verlog"
	"hawthornferry/io/conn/link"
)

// Timeouts and intervals of calls to the store.
const (
	// watchSlack is how much longer than its wait a watch may take. The store
	// answers in milliseconds, and within a second even when it is many times
	// slower than usual.
	watchSlack = time.Second
	// pageTimeout bounds the read of one page of a list. A page of a few
	// hundred items takes a while on a region link that is shared. With a
	// shorter timeout, processes that give up and retry would keep the link
	// full for good.
	pageTimeout = 4 * time.Second
	// minWatchInterval is the shortest time from the start of a watch that
	// brought changes to the next one. Changes come in bursts of ten and more a
	// second, and without it each watch would return with one. It must stay
	// well below verlog.MaxGap: after a longer gap, changes no longer count as
	// received when they were made.
	minWatchInterval = 100 * time.Millisecond
	// retryBase and retryMax bound the pauses between calls that failed.
	retryBase = 100 * time.Millisecond
	retryMax  = 800 * time.Millisecond
	// upstreamRetry is the mean pause between tries of the upstreams while this
	// process doesn't call the store. startupUpstreamWait is how long a process
	// that starts at the same time as its upstreams waits for them before it
	// calls the store.
	upstreamRetry       = 200 * time.Millisecond
	startupUpstreamWait = 800 * time.Millisecond
	// registerGrace is how long after the store has come back a target that is
	// missing may still be used: running targets register again within two
	// seconds.
	registerGrace = 1800 * time.Millisecond
	// graceCheckInterval is the longest wait of a watch while there are missing
	// targets, so that they are dropped soon after their grace has ended.
	graceCheckInterval = 250 * time.Millisecond
	// minOutage is how much longer than usual the store must have been silent
	// to count as having been unreachable.
	minOutage = time.Second
	// maxReaderAge is the largest age of the state of a process that watches
	// the store while the store answers. The state is as old as the start of
	// the last watch that has ended, so two waits of an entry (800 ms each).
	maxReaderAge = 1600 * time.Millisecond
)

// Feed holds the process's copy of the platform's state. Set the exported
// fields before Run.
type Feed struct {
	Self    *link.Self
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope
	Store   Store
	Decoder Decoder
	// Uptime is a clock that keeps counting while the machine is suspended. Ages
	// are measured on it.
	Uptime func() time.Duration
	// RanSince, when set, reports whether this process has run without being
	// suspended or stopped from a time on the Uptime clock until now.
	RanSince func(at time.Duration) bool
	// WatchWait is how long one watch of the store waits for a change. The state is
	// confirmed that often.
	WatchWait time.Duration
	// DrainTime is the longest time for which a target may be used after it was
	// removed.
	DrainTime time.Duration
	// Peers returns the processes to ask while the state is not being
	// confirmed.
	Peers func() []Peer
	// StoreReaders returns those peers that watch the store themselves.
	StoreReaders func() []Peer
	// Upstreams, when set, returns the upstreams: processes that watch the store
	// and report changes to this one. This process then calls the store only
	// while none of them can report. A few processes read for all others,
	// because the store's capacity doesn't grow with the number of processes.
	Upstreams func() []Peer
	// StoreBackoff is the mean time for which a process with upstreams stops
	// calling the store after two of its calls in a row have failed; the
	// upstreams report when the store is back. Zero means that it goes on
	// calling. If a whole fleet called a store that is down, its request quota
	// would be used up when it comes back.
	StoreBackoff time.Duration
	// UpstreamWait is how long a request to an upstream waits for a change. The
	// state is confirmed that often, and an upstream that has stopped
	// responding is detected after little more.
	UpstreamWait time.Duration
	// MaxStoreLateness is how late the store's answer to an upstream may be before
	// the upstream is left. Zero means that it is left only once its state is old
	// or it reports that it has lost the store.
	MaxStoreLateness time.Duration
	// UsualAge is how old the state gets while the store and the processes above this one
	// answer; zero stands for one watch and one request to an upstream. Peers are asked
	// once the state is older.
	UsualAge time.Duration
	// Relays, when set, returns the relays: processes that follow the upstreams and pass
	// the state on to others nearby. This process follows one of them, and an upstream
	// only while none of them can report.
	Relays func() []Peer
	// IsRelay, when set, reports whether other processes follow this one as a relay.
	// RelayWaits then replace WatchWait and UpstreamWait.
	IsRelay    func() bool
	RelayWaits Waits

	mu        sync.Mutex
	items     map[string]Item
	removed   removals
	decoded   map[string]DecodedItem
	graceEnds map[string]time.Time
	// rejected holds the items whose newest value could not be decoded.
	rejected map[string]rejection
	// withheld holds until when items are not used that a restored store lists again.
	withheld      map[string]time.Time
	announcements verlog.Log
	// queries is how often peers were asked when the newest version was
	// announced, and nextQuery the time on the Uptime clock of the next query.
	queries   int
	nextQuery time.Duration
	revision  uint64
	// confirmed is when, on the Uptime clock, the state was last known to be
	// current.
	confirmed time.Duration
	known     bool
	// answeredUntil is the time on the Uptime clock up to which the store's last
	// answer to this process accounts for all changes.
	answeredUntil time.Duration
	// answerDue is when, on the Uptime clock, the store's answer to the present
	// call of this process is due, or the first of several calls that were not
	// answered. Zero if none is awaited.
	answerDue time.Duration
	// lastFailure is when, on the Uptime clock, a call of this process to the
	// store last failed.
	lastFailure time.Duration
	// storeLost is set from the second call in a row of this process to the
	// store that fails until the store answers again.
	storeLost bool
	// storeUpUntil is the latest time on the Uptime clock at which the store is
	// known to have answered this process or a peer. upstreamRepliedAt is when
	// an upstream last replied. Time in which upstreams were silent is added to
	// both, see discountSilence.
	storeUpUntil      time.Duration
	upstreamRepliedAt time.Duration
	storeBackAt       time.Time
	current           atomic.Pointer[facts.Facts]
	changed           chan struct{}
	initOnce          sync.Once
	// nextUpstreamTry is when the upstreams are tried again after none
	// reported, and nextStoreCall when the store is called again after it
	// failed. Only Run's goroutine uses them.
	nextUpstreamTry time.Time
	nextStoreCall   time.Time
	// nextRelayTry is when the relays are tried again after none of them reported.
	nextRelayTry time.Time
	// loggedStoreUp is whether the store was up when that was last logged, and
	// storeLogged whether it has been logged at all.
	loggedStoreUp bool
	storeLogged   bool
}

// Waits are how long one watch of the store and one request to an upstream wait for a
// change.
type Waits struct {
	Store    time.Duration
	Upstream time.Duration
}

// waits returns the waits of this process.
func (f *Feed) waits() Waits {
	if f.IsRelay != nil && f.IsRelay() {
		return f.RelayWaits
	}
	return Waits{Store: f.WatchWait, Upstream: f.UpstreamWait}
}

func (f *Feed) init() {
	f.initOnce.Do(func() {
		f.items = map[string]Item{}
		f.decoded = map[string]DecodedItem{}
		f.graceEnds = map[string]time.Time{}
		f.rejected = map[string]rejection{}
		f.withheld = map[string]time.Time{}
		f.changed = make(chan struct{})
		f.current.Store(&facts.Facts{})
		if f.Metrics == nil {
			f.Metrics = tally.NoopScope
		}
	})
}

// Current returns the state.
func (f *Feed) Current() *facts.Facts {
	f.init()
	return f.current.Load()
}

// Changed returns a channel that is closed at the next change of the state.
func (f *Feed) Changed() <-chan struct{} {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Age returns how long ago the state was last known to be current. It returns false while
// there is no state. While the newest configuration could not be decoded, the state doesn't
// count as current, however recently the store has confirmed it.
func (f *Feed) Age() (time.Duration, bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Uptime() - f.currentUntil(), f.known
}

// syncAge returns how long ago the state was last confirmed by the store, to this process or
// to the peer that sent it. It returns false while there is no state.
func (f *Feed) syncAge() (time.Duration, bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Uptime() - f.confirmed, f.known
}

// Run keeps the state up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	f.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.pollPeersWhileStale(ctx) })
	wg.Go(func() { f.queryAnnouncements(ctx) })
	pause := time.Duration(0)
	fails := 0
	started := f.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.Clock.After(pause):
		}
		starting := f.followUpstreams(ctx)
		if f.skipsStore(starting, started) {
			pause = upstreamRetry/2 + rand.N(upstreamRetry)
			continue
		}
		began := f.Clock.Now()
		err := f.syncOnce(ctx)
		f.logStore(err)
		if err != nil {
			f.recordStoreFailure(fails)
			pause = retryPause(fails)
			if fails > 0 && f.StoreBackoff > 0 {
				f.nextStoreCall = f.Clock.Now().Add(f.StoreBackoff/2 + rand.N(f.StoreBackoff))
			}
			fails++
			continue
		}
		fails = 0
		pause = max(0, minWatchInterval-f.Clock.Since(began))
	}
}

// skipsStore reports whether this process must not call the store now: either
// its calls have failed and the upstreams report when the store is back, or it
// starts at the same time as its upstreams and will get the state from them
// shortly.
func (f *Feed) skipsStore(starting bool, started time.Time) bool {
	if _, known := f.syncAge(); !known && starting && f.Clock.Since(started) < startupUpstreamWait {
		return true
	}
	return f.StoreBackoff > 0 && f.Clock.Now().Before(f.nextStoreCall)
}

// upstreamPause is how long this process leaves the upstreams alone after none
// of them reported.
func (f *Feed) upstreamPause() time.Duration {
	if f.StoreBackoff > 0 {
		return upstreamRetry
	}
	return upstreamPauseDefault
}

// followUpstreams follows the relays and then the upstreams one after the other,
// each until it fails. It reports whether an upstream has only just started.
func (f *Feed) followUpstreams(ctx context.Context) (starting bool) {
	// The upstreams are left alone for a while after none of them reported,
	// unless the store must not be called either.
	resting := f.Clock.Now().Before(f.nextUpstreamTry) && !f.Clock.Now().Before(f.nextStoreCall)
	if f.Upstreams == nil || resting {
		return false
	}
	began := f.Uptime()
	defer func() { f.discountSilence(began) }()
	for again := true; again && ctx.Err() == nil; {
		f.followRelays(ctx)
		starting, again = f.followReaders(ctx)
	}
	if ctx.Err() != nil {
		return false
	}
	if _, known := f.syncAge(); known {
		f.nextUpstreamTry = f.Clock.Now().Add(f.upstreamPause())
	}
	return starting
}

// retryPause returns the randomized pause after the given number of failures in
// a row; it doubles up to retryMax.
func retryPause(fails int) time.Duration {
	bound := min(retryBase<<min(fails, 8), retryMax)
	return bound/2 + rand.N(bound/2)
}
