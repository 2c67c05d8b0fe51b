package swarm

import (
	"container/list"
	"sync"

	"hawthornferry/core/version/chunk"
)

// cache keeps the bytes of chunks lately used, up to a number of bytes, so
// that a chunk in demand is not read back from the engine for each peer.
type cache struct {
	max int64

	mu    sync.Mutex
	size  int64
	order list.List // of cached, the latest used first
	byKey map[chunk.Digest]*list.Element
}

type cached struct {
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
	return e.Value.(cached).data, true
}

func (c *cache) put(d chunk.Digest, b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byKey[d]; ok || int64(len(b)) > c.max {
		return
	}
	c.byKey[d] = c.order.PushFront(cached{key: d, data: b})
	c.size += int64(len(b))
	for c.size > c.max {
		c.remove(c.order.Back())
	}
}

func (c *cache) drop(d chunk.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.byKey[d]; ok {
		c.remove(e)
	}
}

func (c *cache) remove(e *list.Element) {
	old := c.order.Remove(e).(cached)
	delete(c.byKey, old.key)
	c.size -= int64(len(old.data))
}
