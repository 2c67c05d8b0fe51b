package swarm

import (
	"container/list"
	"sync"

	"hawthornferry/core/version/chunk"
)

// cache holds recently used chunks up to a total size, so that a chunk which
// several peers request is not read from the engine for each of them.
type cache struct {
	max int64

	mu    sync.Mutex
	size  int64
	order list.List // of cacheEntry, most recently used first
	byKey map[chunk.Digest]*list.Element
}

// cacheEntry is an element of cache.order.
type cacheEntry struct {
	key  chunk.Digest
	data []byte
}

func newCache(maxBytes int64) *cache {
	return &cache{max: maxBytes, byKey: map[chunk.Digest]*list.Element{}}
}

func (c *cache) get(d chunk.Digest) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byKey[d]
	if !ok {
		return nil, false
	}
	c.order.MoveToFront(e)
	return e.Value.(cacheEntry).data, true
}

// put adds a chunk and removes the least recently used ones to make room for
// it. A chunk larger than the whole cache is not added.
func (c *cache) put(d chunk.Digest, b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byKey[d]; ok || int64(len(b)) > c.max {
		return
	}
	c.byKey[d] = c.order.PushFront(cacheEntry{key: d, data: b})
	c.size += int64(len(b))
	for c.size > c.max {
		c.remove(c.order.Back())
	}
}

func (c *cache) discard(d chunk.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.byKey[d]; ok {
		c.remove(e)
	}
}

func (c *cache) remove(e *list.Element) {
	old := c.order.Remove(e).(cacheEntry)
	delete(c.byKey, old.key)
	c.size -= int64(len(old.data))
}
