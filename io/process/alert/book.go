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

// Book is what a process knows of such requests. Set the exported fields before the
// first use.
type Book struct {
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope

	mu     sync.Mutex
	ledger poison.Ledger
	pages  map[*page]struct{}
	// known is the number of requests in the ledger.
	known atomic.Int64
}

// source says where a change comes from.
type source string

// The sources of changes: this process, a peer that has connected to it, and a hub
// that it has connected to.
const (
	fromHere source = "here"
	fromPeer source = "peer"
	fromHub  source = "hub"
)

// page is what there is to tell one peer.
type page struct {
	// wants reports whether changes of a source are told, and least is the number of
	// strikes from which on a request is.
	wants   func(s source) bool
	least   int
	pending map[poison.Key]struct{}
	wake    chan struct{}
}

// Any reports whether anything is known of any request. It is cheap.
func (b *Book) Any() bool { return b.known.Load() > 0 }

// Blocked reports whether a request is refused, and after what time its caller may
// come back.
func (b *Book) Blocked(k poison.Key) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Blocked(b.Clock.Now(), k)
}

// Struck takes that an attempt broke off at a start of a target whose answer had gone
// on for ran.
func (b *Book) Struck(k poison.Key, at poison.Start, ran time.Duration) {
	b.change(fromHere, "", k, func(now time.Time) bool {
		counts := b.ledger.Strike(now, k, at, ran)
		if counts {
			b.count("strikes_total", "")
		}
		return counts
	})
}

// Succeeded takes that a request ended well.
func (b *Book) Succeeded(k poison.Key) {
	b.change(fromHere, "", k, func(now time.Time) bool { return b.ledger.Succeeded(now, k) })
}

// Answered takes that a start of a target has answered a request that was sent to it
// at began.
func (b *Book) Answered(began time.Time, at poison.Start) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	before := map[poison.Key]poison.State{}
	for _, k := range b.ledger.Struck(now, at) {
		before[k] = b.ledger.State(now, k)
	}
	for _, k := range b.ledger.Answered(now, began, at) {
		b.tell(now, fromHere, "", k, before[k])
	}
}

// listed takes which starts of targets are listed.
func (b *Book) listed(starts map[poison.Start]bool) {
	b.mu.Lock()
	keys := b.ledger.Keys(b.Clock.Now())
	b.mu.Unlock()
	for _, k := range keys {
		b.change(fromHere, "", k, func(now time.Time) bool { return b.ledger.Listed(now, k, starts) })
	}
}

// merge takes what a peer tells.
func (b *Book) merge(s source, peer string, notes []poison.Note) {
	for _, n := range notes {
		b.change(s, peer, n.Key, func(now time.Time) bool { return b.ledger.Merge(now, n) })
	}
}

// change makes a change to what is known of a request, which reports whether it is
// one, and tells of it.
func (b *Book) change(s source, peer string, k poison.Key, edit func(now time.Time) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	before := b.ledger.State(now, k)
	if edit(now) {
		b.tell(now, s, peer, k, before)
	}
	b.known.Store(int64(b.ledger.Len()))
}

// tell passes a change on and writes down what a request is taken for from now on. It
// is called with the book locked.
func (b *Book) tell(now time.Time, s source, peer string, k poison.Key, before poison.State) {
	for p := range b.pages {
		if p.wants(s) {
			p.add(k)
		}
	}
	state := b.ledger.State(now, k)
	if state == before {
		return
	}
	b.count("requests_total", string(state))
	b.Log.Decide(b.line(now, peer, k, state))
}

// actions are the actions of the lines by the state that they tell.
var actions = map[poison.State]string{
	poison.StateClear: "requestCleared", poison.StateSuspected: "requestSuspected", poison.StateBlocked: "requestBlocked",
}

func (b *Book) line(now time.Time, peer string, k poison.Key, state poison.State) trail.Decision {
	d := trail.Decision{Area: trail.AreaRouting, Action: actions[state], Fingerprint: k.String()}
	var parts []string
	if peer != "" {
		parts = append(parts, "told by "+peer)
	}
	n, _ := b.ledger.Note(now, k, 0)
	if n.Cleared {
		parts = append(parts, fmt.Sprintf("ended well %d ms ago", n.ClearedAgo.Milliseconds()))
	}
	for _, s := range n.Strikes {
		what := "broke off"
		if s.Outlived {
			what = "broke off, though the target ran on,"
		}
		parts = append(parts, fmt.Sprintf("%s at %s %d ms ago", what, s.Start.Target, s.Ago.Milliseconds()))
	}
	d.Reason = strings.Join(parts, "; ")
	return d
}

func (b *Book) count(name, state string) {
	scope := b.Metrics.SubScope("alerts")
	if state != "" {
		scope = scope.Tagged(map[string]string{"state": state})
	}
	scope.Counter(name).Inc(1)
}

// open returns a page on which all that is known is to be told.
func (b *Book) open(least int, wants ...source) *page {
	p := &page{least: least, pending: map[poison.Key]struct{}{}, wake: make(chan struct{}, 1)}
	p.wants = func(s source) bool {
		for _, w := range wants {
			if w == s {
				return true
			}
		}
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.ledger.Keys(b.Clock.Now()) {
		p.add(k)
	}
	if b.pages == nil {
		b.pages = map[*page]struct{}{}
	}
	b.pages[p] = struct{}{}
	return p
}

func (b *Book) close(p *page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pages, p)
}

func (p *page) add(k poison.Key) {
	p.pending[k] = struct{}{}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// take returns some of what there is to tell on a page, and whether there is more.
func (b *Book) take(p *page) (notes []poison.Note, more bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for k := range p.pending {
		if len(notes) == maxNotes {
			return notes, true
		}
		delete(p.pending, k)
		if n, ok := b.ledger.Note(now, k, p.least); ok {
			notes = append(notes, n)
		}
	}
	return notes, false
}
