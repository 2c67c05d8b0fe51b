package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hawthornferry/standin/serve"
)

// Bounds of the events.
const (
	maxEvents  = 4096
	eventsPage = 512
)

// EventAction says what happened to a prefix.
type EventAction string

// The actions of an event.
const (
	EventStored  EventAction = "stored"
	EventEvicted EventAction = "evicted"
)

// Event tells of one prefix in the cache. Seq grows; a number left out is a
// lost event.
type Event struct {
	Seq    uint64      `json:"seq"`
	Action EventAction `json:"action"`
	Prefix string      `json:"prefix"`
}

// Events is a page of events.
type Events struct {
	Events []Event `json:"events"`
}

// cache holds the prefixes of recent prompts, the least recently used one
// going first. Its events show after lag, and every gap-th is lost.
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

// use stores the prefixes of a prompt and returns how many were not cached.
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

// clear drops the cache, whose content belongs to one version.
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

// after returns the events above seq that are due.
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
	serve.JSON(w, http.StatusOK, Events{Events: e.cache.eventsAfter(after, e.Clock.Now())})
}

func isNth(n, each uint64) bool { return each > 0 && n%each == 0 }
