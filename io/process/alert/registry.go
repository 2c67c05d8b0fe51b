// Package alert tells processes of each other's requests that crash targets. Such a
// request comes again at any entry, also at one that has just started; an entry that
// knew only its own part of the crashes would send it on.
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

// Registry is what a process knows of such requests. Set the exported fields before the
// first use.
type Registry struct {
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope

	mu          sync.Mutex
	ledger      poison.Ledger
	subscribers map[*subscription]struct{}
	// known is the number of requests in the ledger.
	known atomic.Int64
}

// source says where a change comes from.
type source string

// The sources of changes: this process, a peer that has connected to it, and a hub
// that it has connected to.
const (
	fromLocal source = "local"
	fromPeer  source = "peer"
	fromHub   source = "hub"
)

// subscription is what there is to tell one peer.
type subscription struct {
	// wants reports whether changes of a source are told, and least is the number of
	// strikes from which on a request is.
	wants   func(s source) bool
	least   int
	pending map[poison.Key]struct{}
	wake    chan struct{}
}

// Any reports whether anything is known of any request. It is cheap.
func (r *Registry) Any() bool { return r.known.Load() > 0 }

// Blocked reports whether a request is refused, and after what time its caller may
// come back.
func (r *Registry) Blocked(k poison.Key) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Blocked(r.Clock.Now(), k)
}

// Struck takes that an attempt broke off at a start of a target whose answer had gone
// on for ran.
func (r *Registry) Struck(k poison.Key, at poison.Start, ran time.Duration) {
	r.change(fromLocal, "", k, func(now time.Time) bool {
		counts := r.ledger.Strike(now, k, at, ran)
		if counts {
			r.count("strikes_total", "")
		}
		return counts
	})
}

// Succeeded takes that a request ended well.
func (r *Registry) Succeeded(k poison.Key) {
	r.change(fromLocal, "", k, func(now time.Time) bool { return r.ledger.Succeeded(now, k) })
}

// Answered takes that a start of a target has answered a request that was sent to it
// at began.
func (r *Registry) Answered(began time.Time, at poison.Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	before := map[poison.Key]poison.State{}
	for _, k := range r.ledger.Struck(now, at) {
		before[k] = r.ledger.State(now, k)
	}
	for _, k := range r.ledger.Answered(now, began, at) {
		r.publish(now, fromLocal, "", k, before[k])
	}
}

// listed takes which starts of targets are listed.
func (r *Registry) listed(starts map[poison.Start]bool) {
	r.mu.Lock()
	keys := r.ledger.Keys(r.Clock.Now())
	r.mu.Unlock()
	for _, k := range keys {
		r.change(fromLocal, "", k, func(now time.Time) bool { return r.ledger.Listed(now, k, starts) })
	}
}

// merge takes what a peer tells.
func (r *Registry) merge(s source, peer string, notes []poison.Note) {
	for _, n := range notes {
		r.change(s, peer, n.Key, func(now time.Time) bool { return r.ledger.Merge(now, n) })
	}
}

// change makes a change to what is known of a request, which reports whether it is
// one, and tells of it.
func (r *Registry) change(s source, peer string, k poison.Key, edit func(now time.Time) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	before := r.ledger.State(now, k)
	if edit(now) {
		r.publish(now, s, peer, k, before)
	}
	r.known.Store(int64(r.ledger.Len()))
}

// publish passes a change on and writes down what a request is taken for from now on. It
// is called with the registry locked.
func (r *Registry) publish(now time.Time, s source, peer string, k poison.Key, before poison.State) {
	for p := range r.subscribers {
		if p.wants(s) {
			p.add(k)
		}
	}
	state := r.ledger.State(now, k)
	if state == before {
		return
	}
	r.count("requests_total", string(state))
	r.Log.Decide(r.line(now, peer, k, state))
}

// actions are the actions of the lines by the state that they tell.
var actions = map[poison.State]string{
	poison.StateClear: "requestCleared", poison.StateSuspected: "requestSuspected", poison.StateBlocked: "requestBlocked",
}

func (r *Registry) line(now time.Time, peer string, k poison.Key, state poison.State) trail.Decision {
	d := trail.Decision{Area: trail.AreaRouting, Action: actions[state], Fingerprint: k.String()}
	var parts []string
	if peer != "" {
		parts = append(parts, "told by "+peer)
	}
	n, _ := r.ledger.Note(now, k, 0)
	if n.Cleared {
		parts = append(parts, fmt.Sprintf("ended well %d ms ago", n.ClearedAgo.Milliseconds()))
	}
	for _, s := range n.Strikes {
		what := "broke off"
		if s.Survived {
			what = "broke off, though the target ran on,"
		}
		parts = append(parts, fmt.Sprintf("%s at %s %d ms ago", what, s.Start.Target, s.Ago.Milliseconds()))
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

// subscribe returns a subscription by which all that is known is to be told.
func (r *Registry) subscribe(least int, wants ...source) *subscription {
	p := &subscription{least: least, pending: map[poison.Key]struct{}{}, wake: make(chan struct{}, 1)}
	p.wants = func(s source) bool {
		for _, w := range wants {
			if w == s {
				return true
			}
		}
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.ledger.Keys(r.Clock.Now()) {
		p.add(k)
	}
	if r.subscribers == nil {
		r.subscribers = map[*subscription]struct{}{}
	}
	r.subscribers[p] = struct{}{}
	return p
}

func (r *Registry) unsubscribe(p *subscription) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, p)
}

func (p *subscription) add(k poison.Key) {
	p.pending[k] = struct{}{}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// drain returns some of what there is to tell a subscriber, and whether there is more.
func (r *Registry) drain(p *subscription) (notes []poison.Note, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for k := range p.pending {
		if len(notes) == maxNotes {
			return notes, true
		}
		delete(p.pending, k)
		if n, ok := r.ledger.Note(now, k, p.least); ok {
			notes = append(notes, n)
		}
	}
	return notes, false
}
