package main

import "container/list"

// blockCache keeps the most recently used prompt blocks. Its zero value is
// an empty cache of engineBlocks blocks.
type blockCache struct {
	order list.List
	at    map[uint64]*list.Element
}

// match returns how many leading blocks are held, and marks them as used.
func (c *blockCache) match(blocks []uint64) int {
	for i, b := range blocks {
		e, ok := c.at[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(blocks)
}

// put adds a block, and returns what gave way and whether it is new.
func (c *blockCache) put(b uint64) (evicted []uint64, isNew bool) {
	if c.at == nil {
		c.at = make(map[uint64]*list.Element)
	}
	if e, ok := c.at[b]; ok {
		c.order.MoveToFront(e)
		return nil, false
	}
	c.at[b] = c.order.PushFront(b)
	for c.order.Len() > engineBlocks {
		last := c.order.Back()
		old := c.order.Remove(last).(uint64)
		delete(c.at, old)
		evicted = append(evicted, old)
	}
	return evicted, true
}
