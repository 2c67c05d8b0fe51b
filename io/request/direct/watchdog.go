package direct

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/request/place"
)

// Limits on how long a target may be silent before its request is moved to another one.
const (
	// firstSilenceFactor and gapSilenceFactor are multiples of the route's objectives
	// for the first event and for the gap between events. A response that takes longer
	// is late anyway, whereas one from another target is at least complete; a target
	// that hangs or is unreachable never responds. With factors below 2, requests would
	// be moved away from engines that are only reading a long prompt.
	firstSilenceFactor = 2.5
	gapSilenceFactor   = 2.5
	// minSilence is the lower limit of the resulting timeouts.
	minSilence = 150 * time.Millisecond
	// beginMargin is how long before the limit on old model versions
	// (Rules.OldVersionPeriod) a request must have begun on one.
	beginMargin = 300 * time.Millisecond
)

// versionCheckInterval is how often the version of the target is checked while a
// request has not begun. One timer for the deadline would not do: a newer version may
// be announced after the request was sent, or its announcement may be learned of late,
// and timers stand still while the machine is suspended.
const versionCheckInterval = 200 * time.Millisecond

// watchdog watches one exchange. If the target is silent for too long, it moves the
// request to another target that can take it. If the request has not begun by the time
// at which requests may no longer begin on the target's model version, it aborts the
// exchange.
type watchdog struct {
	server         *Server
	q              *request
	x              *exchange
	targetID       string
	servingVersion uint64
	silenceTimer   clockwork.Timer
	// movable is set if another target may take the request over. handoverRequests then
	// receives why the response, once begun, should be handed over.
	movable          bool
	handoverRequests chan error

	mu           sync.Mutex
	versionTimer clockwork.Timer
	// versionCheckDone is set once the request has begun or the exchange is over.
	versionCheckDone bool
	// responseBegun is set once a part of the response has arrived.
	responseBegun atomic.Bool
}

// The errors with which the entry itself aborts an attempt or hands it over.
// errVersionTooOld is for a request that has not begun when its target's model version
// becomes too old to begin on.
var (
	errVersionTooOld = errors.New("request not begun before its model version became too old")
	errSilent        = errors.New("target sent no data in time")
	errLoading       = errors.New("target is waiting to load a version")
)

// startWatchdog starts the watchdog of an exchange with the target of v. movable tells
// whether another target may take the request over.
func (s *Server) startWatchdog(q *request, x *exchange, v place.Verdict, movable bool) *watchdog {
	g := &watchdog{
		server: s, q: q, x: x, targetID: v.Target.ID, servingVersion: v.ServedVersion,
		movable: movable, handoverRequests: make(chan error, 1),
	}
	g.checkVersion()
	s.watchdogs.add(g)
	if g.movable {
		g.silenceTimer = s.Clock.AfterFunc(silenceTimeout(q.route.Objective, firstSilenceFactor), g.handleSilence)
	}
	return g
}

// requestHandover asks for a response that has begun to be handed over to another
// target. It does nothing if an earlier request is still pending.
func (g *watchdog) requestHandover(cause error) {
	select {
	case g.handoverRequests <- cause:
	default:
	}
}

// timeToBegin returns how much longer a request may begin on a version. It returns
// false if there is no limit, as when no newer version is known.
func (s *Server) timeToBegin(q *request, serving uint64) (time.Duration, bool) {
	if q.service.Engine == nil || serving == 0 || s.Rules.OldVersionPeriod <= 0 {
		return 0, false
	}
	since, replaced := s.Source.Current().ReplacedSince(q.service.Engine.Model, serving)
	if !replaced {
		return 0, false
	}
	return s.Rules.OldVersionPeriod - beginMargin - s.Clock.Since(since), true
}

// versionTooOld reports whether a request may no longer begin on a version.
func (s *Server) versionTooOld(q *request, serving uint64) bool {
	left, bounded := s.timeToBegin(q, serving)
	return bounded && left <= 0
}

// checkVersion aborts the exchange if its request may no longer begin on the target's
// version; otherwise it schedules the next check.
func (g *watchdog) checkVersion() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.versionCheckDone || g.q.service.Engine == nil || g.servingVersion == 0 {
		return
	}
	pause := versionCheckInterval
	if left, bounded := g.server.timeToBegin(g.q, g.servingVersion); bounded {
		if left <= 0 {
			g.versionCheckDone = true
			g.x.abort(errVersionTooOld)
			return
		}
		pause = min(pause, left)
	}
	g.versionTimer = g.server.Clock.AfterFunc(pause, g.checkVersion)
}

// stopVersionCheck ends the version checks: the request has begun or the exchange is
// over.
func (g *watchdog) stopVersionCheck() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versionCheckDone = true
	if g.versionTimer != nil {
		g.versionTimer.Stop()
	}
}

// silenceTimeout returns how long a target may be silent given an objective d.
func silenceTimeout(d time.Duration, factor float64) time.Duration {
	return max(time.Duration(float64(d)*factor), minSilence)
}

// handleSilence moves the request to another target. A response that has begun is
// handed over. Otherwise the exchange is aborted for a retry, but only if another
// target has room and the retry budget allows it: if not, the response may still
// arrive, and aborting would lose it.
func (g *watchdog) handleSilence() {
	if g.responseBegun.Load() {
		g.requestHandover(errSilent)
		return
	}
	if !g.server.dispatcher.otherHasRoom(g.q.service.Name, g.targetID, g.server.allowedRegions(g.q)) || !g.server.takeRetry(g.q) {
		return
	}
	g.x.abort(errSilent)
}

// received records that a part of the response has arrived.
func (g *watchdog) received() {
	g.responseBegun.Store(true)
	g.stopVersionCheck()
	if g.silenceTimer != nil && g.q.route.MaxEventGap > 0 {
		g.silenceTimer.Reset(silenceTimeout(g.q.route.MaxEventGap, gapSilenceFactor))
	}
}

// stop ends the watch.
func (g *watchdog) stop() {
	g.server.watchdogs.remove(g)
	if g.silenceTimer != nil {
		g.silenceTimer.Stop()
	}
	g.stopVersionCheck()
}
