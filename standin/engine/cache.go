package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hawthornferry/standin/serve"
)

// Limits of the cache's events: how many are kept, and how many one response
// has.
const (
	maxEvents  = 4096
	eventsPage = 512
)

// EventAction says what happened to a prefix.
type EventAction string

// The actions of an event: a prefix was added to the cache or removed from it.
const (
	EventStored  EventAction = "stored"
	EventEvicted EventAction = "evicted"
)

// Event reports a change of one prefix in the cache. Seq grows by 1; a gap in the
// numbers is a lost event.
type Event struct {
	Seq    uint64      `json:"seq"`
	Action EventAction `json:"action"`
	Prefix string      `json:"prefix"`
}

// Events is the response to a request for events.
type Events struct {
	Events []Event `json:"events"`
}

// prefixCache is an LRU cache of the prefixes of prompts. Its events are
// delayed by lag, and every gap-th one is left out.
type prefixCache struct {
	maxBlocks int
	lag       time.Duration
	gap       uint64

	mu     sync.Mutex
	order  list.List
	items  map[string]*list.Element
	seq    uint64
	events []delayedEvent
}

type delayedEvent struct {
	Event
	due time.Time
}

// touch marks the prefixes of a prompt as used, adds the missing ones and returns
// how many were missing.
func (c *prefixCache) touch(prefixes []string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items == nil {
		c.items = map[string]*list.Element{}
	}
	missed := 0
	for _, p := range prefixes {
		if el, ok := c.items[p]; ok {
			c.order.MoveToFront(el)
			continue
		}
		missed++
		c.items[p] = c.order.PushFront(p)
		c.emit(EventStored, p, now)
	}
	c.evict(c.maxBlocks, now)
	return missed
}

// clear empties the cache when another version is served, since cached prefixes
// are valid for one version only.
func (c *prefixCache) clear(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(0, now)
}

func (c *prefixCache) evict(keep int, now time.Time) {
	for c.order.Len() > keep {
		el := c.order.Back()
		p := c.order.Remove(el).(string)
		delete(c.items, p)
		c.emit(EventEvicted, p, now)
	}
}

func (c *prefixCache) emit(a EventAction, prefix string, now time.Time) {
	c.seq++
	if isNth(c.seq, c.gap) {
		return
	}
	ev := delayedEvent{Event: Event{Seq: c.seq, Action: a, Prefix: prefix}, due: now.Add(c.lag)}
	c.events = append(c.events, ev)
	c.events = c.events[max(0, len(c.events)-maxEvents):]
}

// eventsAfter returns the events with a number above seq that are due, at most
// eventsPage of them.
func (c *prefixCache) eventsAfter(seq uint64, now time.Time) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []Event{}
	for _, ev := range c.events {
		if ev.Seq <= seq {
			continue
		}
		if ev.due.After(now) || len(out) >= eventsPage {
			break
		}
		out = append(out, ev.Event)
	}
	return out
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if s := r.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			serve.WriteProblem(w, http.StatusBadRequest, err.Error())
			return
		}
		after = n
	}
	serve.WriteJSON(w, http.StatusOK, Events{Events: e.cache.eventsAfter(after, e.Clock.Now())})
}

// isNth reports whether n is a multiple of each. It is false when each is 0.
func isNth(n, each uint64) bool { return each > 0 && n%each == 0 }
