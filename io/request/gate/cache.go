package gate

import (
	"context"
	"strconv"

	"hawthornferry/io/conn/sessn"
)

// actionStored is the action of an event for a prefix that was added to the cache. With
// any other action the prefix was removed.
const actionStored = "stored"

// eventsPage is the response to GET /v1/events.
type eventsPage struct {
	Events []engineEvent `json:"events"`
}

// engineEvent reports a change of one prefix in the engine's cache. Prefix is
// hexadecimal.
type engineEvent struct {
	Seq    uint64 `json:"seq"`
	Action string `json:"action"`
	Prefix string `json:"prefix"`
}

// cacheEventLog holds the engine's latest cache events, to be sent to the entries with
// heartbeats.
type cacheEventLog struct {
	// boot is the engine's boot and lastSeq the number of the last event read from it.
	boot    string
	lastSeq uint64
	// latest holds the last events, at most sessn.MaxEvents. total counts all events
	// read since the gate's boot, and so is the position of the last one.
	latest []sessn.PrefixEvent
	total  uint64
}

// readCacheEvents reads the events that the engine has added since the last call. boot
// is the engine's current boot; a new one starts numbering its events anew.
func (p *Proxy) readCacheEvents(ctx context.Context, boot string) {
	p.mu.Lock()
	if p.cache.boot != boot {
		p.cache.boot, p.cache.lastSeq = boot, 0
	}
	lastSeq := p.cache.lastSeq
	p.mu.Unlock()
	page, err := getJSON[eventsPage](ctx, p, "/v1/events?after="+strconv.FormatUint(lastSeq, 10))
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range page.Events {
		p.cache.add(e)
	}
}

func (c *cacheEventLog) add(e engineEvent) {
	c.lastSeq = max(c.lastSeq, e.Seq)
	prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
	if err != nil {
		return
	}
	c.total++
	c.latest = append(c.latest, sessn.PrefixEvent{Prefix: prefix, Stored: e.Action == actionStored})
	if over := len(c.latest) - sessn.MaxEvents; over > 0 {
		c.latest = append(c.latest[:0], c.latest[over:]...)
	}
}

// CacheEvents returns the cache events after a position, and the position of the last one.
// Older events that are no longer held are left out.
func (p *Proxy) CacheEvents(after uint64) ([]sessn.PrefixEvent, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.cache
	n := min(c.total-min(after, c.total), uint64(len(c.latest)))
	fresh := c.latest[uint64(len(c.latest))-n:]
	return append([]sessn.PrefixEvent(nil), fresh...), c.total
}
