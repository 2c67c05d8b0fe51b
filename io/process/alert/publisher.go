package alert

import (
	"fmt"
	"strings"
	"time"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/poison"
)

// ledger is what the registry needs of the ledgers of requests and of parts.
type ledger[K comparable] interface {
	Len() int
	Subjects(now time.Time) []K
	State(now time.Time, k K) poison.State
	Note(now time.Time, k K, least int) (poison.Note[K], bool)
	Merge(now time.Time, n poison.Note[K]) bool
	FailedAt(now time.Time, at poison.Incarnation) []K
	RecordAnswer(now, sentAt time.Time, at poison.Incarnation) []K
	RecordListing(now time.Time, k K, starts map[poison.Incarnation]bool) bool
}

// publisher changes one ledger of a registry, and publishes and logs the changes. Unless a method
// says otherwise, the registry's lock must be held.
type publisher[K comparable] struct {
	*Registry
	ledger ledger[K]
	// pending returns the subjects that a subscription still has to send.
	pending func(sub *subscription) map[K]struct{}
	// counter is the metric that counts new states, and actions are the actions of their log
	// records. describe adds the subject to a log record.
	counter  string
	actions  map[poison.State]string
	describe func(d *trail.Decision, k K)
}

var (
	requestActions = map[poison.State]string{
		poison.StateClear: "requestCleared", poison.StateSuspected: "requestSuspected", poison.StateBlocked: "requestBlocked",
	}
	partActions = map[poison.State]string{
		poison.StateClear: "partCleared", poison.StateSuspected: "partSuspected", poison.StateBlocked: "partBlocked",
	}
)

func requestPublisher(r *Registry) publisher[poison.Fingerprint] {
	return publisher[poison.Fingerprint]{
		Registry: r, ledger: &r.requests, counter: "requests_total", actions: requestActions,
		pending:  func(sub *subscription) map[poison.Fingerprint]struct{} { return sub.requests },
		describe: func(d *trail.Decision, k poison.Fingerprint) { d.Fingerprint = k.String() },
	}
}

func partPublisher(r *Registry) publisher[poison.PartID] {
	return publisher[poison.PartID]{
		Registry: r, ledger: &r.parts, counter: "parts_total", actions: partActions,
		pending:  func(sub *subscription) map[poison.PartID]struct{} { return sub.parts },
		describe: func(d *trail.Decision, k poison.PartID) { d.PromptParts = []string{string(k)} },
	}
}

// change applies edit to the record of a subject and, if edit reports a change, publishes it.
func (p publisher[K]) change(s source, peer string, k K, edit func(now time.Time) bool) {
	now := p.Clock.Now()
	before := p.ledger.State(now, k)
	if edit(now) {
		p.publish(now, s, peer, k, before)
	}
	p.size.Store(int64(p.requests.Len() + p.parts.Len()))
}

// publish queues a changed subject for the subscribers, and logs its new state if that has
// changed.
func (p publisher[K]) publish(now time.Time, s source, peer string, k K, before poison.State) {
	for sub := range p.subscribers {
		if sub.includes(s) {
			p.pending(sub)[k] = struct{}{}
			sub.notify()
		}
	}
	state := p.ledger.State(now, k)
	if state == before {
		return
	}
	p.count(p.counter, string(state))
	p.Log.Record(p.decision(now, peer, k, state))
}

func (p publisher[K]) decision(now time.Time, peer string, k K, state poison.State) trail.Decision {
	d := trail.Decision{Area: trail.AreaRouting, Action: p.actions[state]}
	p.describe(&d, k)
	var reasons []string
	if peer != "" {
		reasons = append(reasons, "told by "+peer)
	}
	n, _ := p.ledger.Note(now, k, 0)
	if n.Succeeded {
		reasons = append(reasons, fmt.Sprintf("ended well %d ms ago", n.SuccessAge.Milliseconds()))
	}
	for _, s := range n.Failures {
		what := "broke off"
		if s.Survived {
			what = "broke off, though the target ran on,"
		}
		reasons = append(reasons, fmt.Sprintf("%s at %s %d ms ago", what, s.Incarnation.Target, s.Age.Milliseconds()))
	}
	d.Reason = strings.Join(reasons, "; ")
	return d
}

// recordAnswer records that a target start has answered a request that was sent to it at sentAt.
func (p publisher[K]) recordAnswer(sentAt time.Time, at poison.Incarnation) {
	now := p.Clock.Now()
	before := map[K]poison.State{}
	for _, k := range p.ledger.FailedAt(now, at) {
		before[k] = p.ledger.State(now, k)
	}
	for _, k := range p.ledger.RecordAnswer(now, sentAt, at) {
		p.publish(now, fromLocal, "", k, before[k])
	}
}

// applyListing records which target starts are currently listed. It takes the registry's lock for
// one subject at a time, because there may be thousands.
func (p publisher[K]) applyListing(starts map[poison.Incarnation]bool) {
	p.mu.Lock()
	subjects := p.ledger.Subjects(p.Clock.Now())
	p.mu.Unlock()
	for _, k := range subjects {
		p.mu.Lock()
		p.change(fromLocal, "", k, func(now time.Time) bool { return p.ledger.RecordListing(now, k, starts) })
		p.mu.Unlock()
	}
}

// merge adds the notes of a peer.
func (p publisher[K]) merge(s source, peer string, notes []poison.Note[K]) {
	for _, n := range notes {
		p.change(s, peer, n.Subject, func(now time.Time) bool { return p.ledger.Merge(now, n) })
	}
}

// addAll makes all known subjects pending in a subscription.
func (p publisher[K]) addAll(sub *subscription) {
	for _, k := range p.ledger.Subjects(p.Clock.Now()) {
		p.pending(sub)[k] = struct{}{}
		sub.notify()
	}
}

// take removes up to maxNotes pending subjects from a subscription and returns their notes.
func (p publisher[K]) take(sub *subscription) (notes []poison.Note[K]) {
	now, pending := p.Clock.Now(), p.pending(sub)
	for k := range pending {
		if len(notes) == maxNotes {
			break
		}
		delete(pending, k)
		if n, ok := p.ledger.Note(now, k, sub.minFailures); ok {
			notes = append(notes, n)
		}
	}
	return notes
}
