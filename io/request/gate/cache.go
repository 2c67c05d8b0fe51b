package gate

import (
	"context"
	"strconv"

	"hawthornferry/io/conn/sessn"
)

// actionStored is the action of an event for a prefix that came in.
const actionStored = "stored"

// eventsPage is a page of GET /v1/events.
type eventsPage struct {
	Events []engineEvent `json:"events"`
}

// engineEvent tells of one prefix; Prefix is hexadecimal.
type engineEvent struct {
	Seq    uint64 `json:"seq"`
	Action string `json:"action"`
	Prefix string `json:"prefix"`
}

// cacheEvents holds the engine's latest cache events for the entries.
type cacheEvents struct {
	// boot and seq are how far the engine's events have been read.
	boot string
	seq  uint64
	// latest holds the events that end at position, which counts those read
	// since the gate's boot.
	latest   []sessn.PrefixEvent
	position uint64
}

// followCache reads the events since the last time.
func (g *Gate) followCache(ctx context.Context, boot string) {
	g.mu.Lock()
	if g.cache.boot != boot {
		g.cache.boot, g.cache.seq = boot, 0
	}
	seq := g.cache.seq
	g.mu.Unlock()
	page, err := ask[eventsPage](ctx, g, "/v1/events?after="+strconv.FormatUint(seq, 10))
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range page.Events {
		g.cache.add(e)
	}
}

func (c *cacheEvents) add(e engineEvent) {
	c.seq = max(c.seq, e.Seq)
	prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
	if err != nil {
		return
	}
	c.position++
	c.latest = append(c.latest, sessn.PrefixEvent{Prefix: prefix, Stored: e.Action == actionStored})
	if over := len(c.latest) - sessn.MaxEvents; over > 0 {
		c.latest = append(c.latest[:0], c.latest[over:]...)
	}
}

// Events returns the cache events after a position.
func (g *Gate) Events(after uint64) ([]sessn.PrefixEvent, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.cache
	n := min(c.position-min(after, c.position), uint64(len(c.latest)))
	fresh := c.latest[uint64(len(c.latest))-n:]
	return append([]sessn.PrefixEvent(nil), fresh...), c.position
}
