// Package alert shares among processes which requests, and which parts of prompts, crash
// targets. Such a request is retried at any entry, including one that has just started, and an
// entry that knew only the crashes that it saw itself would forward it to further targets. Every
// process has a Registry and serves it to peers; entries also connect theirs to a few hubs, which
// are processes that relay the records (HubClient). Package direct asks the registry before it
// forwards a request and reports how attempts end.
package alert

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/poison"
)

// Registry holds what a process knows about requests that may crash targets. Set the
// exported fields before the first use. It is safe for concurrent use.
type Registry struct {
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope

	mu          sync.Mutex
	requests    poison.Ledger
	parts       poison.PartLedger
	subscribers map[*subscription]struct{}
	// size is the number of requests and parts in the ledgers.
	size atomic.Int64
}

// source is where a change to the registry comes from.
type source string

// The sources of changes: this process, a peer that connected to it, and a hub that it
// connected to.
const (
	fromLocal source = "local"
	fromPeer  source = "peer"
	fromHub   source = "hub"
)

// subscription holds the changes that are still to be sent to one peer.
type subscription struct {
	// includes reports whether changes from a source are sent. A request or part is sent once
	// it has minFailures.
	includes    func(s source) bool
	minFailures int
	requests    map[poison.Fingerprint]struct{}
	parts       map[poison.PartID]struct{}
	wake        chan struct{}
}

// HasRecords reports whether there is a record of any request or part. It takes no lock.
func (r *Registry) HasRecords() bool { return r.size.Load() > 0 }

// Blocked reports whether a request is refused, and after what time its caller may retry.
func (r *Registry) Blocked(id poison.Identity) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if wait, blocked := r.requests.Blocked(now, id.Request); blocked {
		return wait, true
	}
	return r.parts.Blocked(now, id.Parts)
}

// Trial returns where a blocked request may be sent once more, and counts that as a trial. There
// is none if the request is blocked because of a part of its prompt.
func (r *Registry) Trial(id poison.Identity) poison.Trial {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if _, blocked := r.parts.Blocked(now, id.Parts); blocked {
		return poison.Trial{}
	}
	t := r.requests.Trial(now, id.Request)
	if len(t.Starts) > 0 {
		r.count("trials_total", "")
		r.Log.Record(trail.Decision{Area: trail.AreaRouting, Action: "requestTrial", Fingerprint: id.Request.String()})
	}
	return t
}

// RecordFailure records that an attempt of a request, sent at began, broke off at a target
// start, after its answer had been going on for ran.
func (r *Registry) RecordFailure(began time.Time, id poison.Identity, at poison.Incarnation, ran time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requestPublisher(r).change(fromLocal, "", id.Request, func(now time.Time) bool {
		counts := r.requests.RecordFailure(now, began, id.Request, at, ran)
		if counts {
			r.count("strikes_total", "")
		}
		return counts
	})
	for _, p := range id.Parts {
		partPublisher(r).change(fromLocal, "", p, func(now time.Time) bool { return r.parts.RecordFailure(now, began, p, at, ran) })
	}
}

// RecordSuccess records that a request completed successfully.
func (r *Registry) RecordSuccess(k poison.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requestPublisher(r).change(fromLocal, "", k, func(now time.Time) bool { return r.requests.RecordSuccess(now, k) })
}

// RecordSound records that a target has run a request with the given parts without a crash.
func (r *Registry) RecordSound(parts []poison.PartID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range parts {
		partPublisher(r).change(fromLocal, "", p, func(now time.Time) bool { return r.parts.RecordSuccess(now, p) })
	}
}

// RecordAnswer records that a target start has answered a request that was sent to it at sentAt.
func (r *Registry) RecordAnswer(sentAt time.Time, at poison.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requestPublisher(r).recordAnswer(sentAt, at)
	partPublisher(r).recordAnswer(sentAt, at)
}

// applyListing records which target starts are currently listed.
func (r *Registry) applyListing(starts map[poison.Incarnation]bool) {
	requestPublisher(r).applyListing(starts)
	partPublisher(r).applyListing(starts)
}

// merge adds the notes of a peer.
func (r *Registry) merge(s source, peer string, m *alertMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requestPublisher(r).merge(s, peer, m.Notes)
	partPublisher(r).merge(s, peer, m.PartNotes)
	for _, n := range m.PartNotes {
		partPublisher(r).change(fromLocal, "", n.Subject, func(now time.Time) bool { return r.parts.ApplyOwnSuccess(now, n.Subject) })
	}
}

func (r *Registry) count(name, state string) {
	scope := r.Metrics.SubScope("alerts")
	if state != "" {
		scope = scope.Tagged(map[string]string{"state": state})
	}
	scope.Counter(name).Inc(1)
}

// subscribe returns a subscription in which all known requests and parts are pending.
func (r *Registry) subscribe(minFailures int, sources ...source) *subscription {
	sub := &subscription{
		minFailures: minFailures, wake: make(chan struct{}, 1),
		requests: map[poison.Fingerprint]struct{}{}, parts: map[poison.PartID]struct{}{},
		includes: func(s source) bool { return slices.Contains(sources, s) },
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	requestPublisher(r).addAll(sub)
	partPublisher(r).addAll(sub)
	if r.subscribers == nil {
		r.subscribers = map[*subscription]struct{}{}
	}
	r.subscribers[sub] = struct{}{}
	return sub
}

func (r *Registry) unsubscribe(sub *subscription) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, sub)
}

// notify wakes the sender of a subscription.
func (sub *subscription) notify() {
	select {
	case sub.wake <- struct{}{}:
	default:
	}
}

// takeNotes removes pending requests and parts from a subscription, up to maxNotes of each, and
// returns the message with their notes, and whether more are pending.
func (r *Registry) takeNotes(sub *subscription) (m *alertMessage, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m = &alertMessage{Notes: requestPublisher(r).take(sub), PartNotes: partPublisher(r).take(sub)}
	return m, len(sub.requests)+len(sub.parts) > 0
}
