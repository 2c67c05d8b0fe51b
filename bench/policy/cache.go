package main

import "container/list"

// blockCache is an LRU cache of prompt blocks. Its zero value is an empty cache with
// room for cacheBlocks blocks.
type blockCache struct {
	byUse    list.List
	elements map[uint64]*list.Element
}

// match returns how many leading blocks are cached, and marks them as recently used.
func (c *blockCache) match(blocks []uint64) int {
	for i, b := range blocks {
		e, ok := c.elements[b]
		if !ok {
			return i
		}
		c.byUse.MoveToFront(e)
	}
	return len(blocks)
}

// add stores a block as the most recently used one, and returns the blocks that were
// evicted for it and whether it is new.
func (c *blockCache) add(b uint64) (evicted []uint64, isNew bool) {
	if c.elements == nil {
		c.elements = make(map[uint64]*list.Element)
	}
	if e, ok := c.elements[b]; ok {
		c.byUse.MoveToFront(e)
		return nil, false
	}
	c.elements[b] = c.byUse.PushFront(b)
	for c.byUse.Len() > cacheBlocks {
		last := c.byUse.Back()
		old := c.byUse.Remove(last).(uint64)
		delete(c.elements, old)
		evicted = append(evicted, old)
	}
	return evicted, true
}
