// Package alert shares among processes which requests crash targets. Such a request is
// retried at any entry, including one that has just started, and an entry that knew only the
// crashes that it saw itself would forward it to further targets. Every process has a
// Registry and serves it to peers; entries also connect theirs to a few hubs, which are
// processes that relay the records (HubClient). Package direct asks the registry before it
// forwards a request and reports how attempts end.
package alert

import (
	"fmt"
	"strings"
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
	ledger      poison.Ledger
	subscribers map[*subscription]struct{}
	// size is the number of requests in the ledger.
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
	// includes reports whether changes from a source are sent. A request is sent once it
	// has minFailures.
	includes    func(s source) bool
	minFailures int
	pending     map[poison.Fingerprint]struct{}
	wake        chan struct{}
}

// HasRecords reports whether there is a record of any request. It takes no lock.
func (r *Registry) HasRecords() bool { return r.size.Load() > 0 }

// Blocked reports whether a request is refused, and after what time its caller may retry.
func (r *Registry) Blocked(k poison.Fingerprint) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Blocked(r.Clock.Now(), k)
}

// RecordFailure records that an attempt of a request, sent at began, broke off at a target
// start, after its answer had been going on for ran.
func (r *Registry) RecordFailure(began time.Time, k poison.Fingerprint, at poison.Incarnation, ran time.Duration) {
	r.change(fromLocal, "", k, func(now time.Time) bool {
		counts := r.ledger.RecordFailure(now, began, k, at, ran)
		if counts {
			r.count("strikes_total", "")
		}
		return counts
	})
}

// RecordSuccess records that a request completed successfully.
func (r *Registry) RecordSuccess(k poison.Fingerprint) {
	r.change(fromLocal, "", k, func(now time.Time) bool { return r.ledger.RecordSuccess(now, k) })
}

// RecordAnswer records that a target start has answered a request that was sent to it at sentAt.
func (r *Registry) RecordAnswer(sentAt time.Time, at poison.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	before := map[poison.Fingerprint]poison.State{}
	for _, k := range r.ledger.FailedRequests(now, at) {
		before[k] = r.ledger.State(now, k)
	}
	for _, k := range r.ledger.RecordAnswer(now, sentAt, at) {
		r.publish(now, fromLocal, "", k, before[k])
	}
}

// applyListing records which target starts are currently listed.
func (r *Registry) applyListing(starts map[poison.Incarnation]bool) {
	r.mu.Lock()
	keys := r.ledger.Fingerprints(r.Clock.Now())
	r.mu.Unlock()
	for _, k := range keys {
		r.change(fromLocal, "", k, func(now time.Time) bool { return r.ledger.RecordListing(now, k, starts) })
	}
}

// merge adds the notes of a peer.
func (r *Registry) merge(s source, peer string, notes []poison.Note) {
	for _, n := range notes {
		r.change(s, peer, n.Fingerprint, func(now time.Time) bool { return r.ledger.Merge(now, n) })
	}
}

// change applies edit to the record of a request and, if edit reports a change, publishes
// it.
func (r *Registry) change(s source, peer string, k poison.Fingerprint, edit func(now time.Time) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	before := r.ledger.State(now, k)
	if edit(now) {
		r.publish(now, s, peer, k, before)
	}
	r.size.Store(int64(r.ledger.Len()))
}

// publish queues a changed request for the subscribers, and logs its new state if that has
// changed. r.mu must be held.
func (r *Registry) publish(now time.Time, s source, peer string, k poison.Fingerprint, before poison.State) {
	for sub := range r.subscribers {
		if sub.includes(s) {
			sub.add(k)
		}
	}
	state := r.ledger.State(now, k)
	if state == before {
		return
	}
	r.count("requests_total", string(state))
	r.Log.Record(r.decision(now, peer, k, state))
}

// actions maps the state of a request to the action of its log record.
var actions = map[poison.State]string{
	poison.StateClear: "requestCleared", poison.StateSuspected: "requestSuspected", poison.StateBlocked: "requestBlocked",
}

func (r *Registry) decision(now time.Time, peer string, k poison.Fingerprint, state poison.State) trail.Decision {
	d := trail.Decision{Area: trail.AreaRouting, Action: actions[state], Fingerprint: k.String()}
	var parts []string
	if peer != "" {
		parts = append(parts, "told by "+peer)
	}
	n, _ := r.ledger.Note(now, k, 0)
	if n.Succeeded {
		parts = append(parts, fmt.Sprintf("ended well %d ms ago", n.SuccessAge.Milliseconds()))
	}
	for _, s := range n.Failures {
		what := "broke off"
		if s.Survived {
			what = "broke off, though the target ran on,"
		}
		parts = append(parts, fmt.Sprintf("%s at %s %d ms ago", what, s.Incarnation.Target, s.Age.Milliseconds()))
	}
	d.Reason = strings.Join(parts, "; ")
	return d
}

func (r *Registry) count(name, state string) {
	scope := r.Metrics.SubScope("alerts")
	if state != "" {
		scope = scope.Tagged(map[string]string{"state": state})
	}
	scope.Counter(name).Inc(1)
}

// subscribe returns a subscription in which all known requests are pending.
func (r *Registry) subscribe(minFailures int, sources ...source) *subscription {
	sub := &subscription{minFailures: minFailures, pending: map[poison.Fingerprint]struct{}{}, wake: make(chan struct{}, 1)}
	sub.includes = func(s source) bool {
		for _, w := range sources {
			if w == s {
				return true
			}
		}
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.ledger.Fingerprints(r.Clock.Now()) {
		sub.add(k)
	}
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

func (sub *subscription) add(k poison.Fingerprint) {
	sub.pending[k] = struct{}{}
	select {
	case sub.wake <- struct{}{}:
	default:
	}
}

// takeNotes removes up to maxNotes pending requests from a subscription and returns their
// notes, and whether more are pending.
func (r *Registry) takeNotes(sub *subscription) (notes []poison.Note, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for k := range sub.pending {
		if len(notes) == maxNotes {
			return notes, true
		}
		delete(sub.pending, k)
		if n, ok := r.ledger.Note(now, k, sub.minFailures); ok {
			notes = append(notes, n)
		}
	}
	return notes, false
}
