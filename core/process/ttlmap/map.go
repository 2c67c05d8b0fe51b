// Package ttlmap implements a map that limits the number and the age of its entries.
// An entry of a Map is a key with its value, not an entry process.
// Packages such as core/request/picker and core/request/admit use it for what they
// learn from and about other processes. In a plain map, entries for targets, keys and
// customers that no longer exist would accumulate over weeks.
package ttlmap

import (
	"container/list"
	"time"
)

// Map is a map whose entries expire. Set the exported fields before the first use. It
// is not safe for concurrent use.
type Map[K comparable, V any] struct {
	// MaxEntries is the maximum number of entries. When a new one would exceed it,
	// the entry whose last Put is the longest ago is removed.
	MaxEntries int
	// TTL is how long an entry is kept after its last Put.
	TTL time.Duration

	items map[K]*list.Element
	// order has the items, those put last at the front.
	order list.List
}

type item[K comparable, V any] struct {
	key   K
	value V
	putAt time.Time
}

// Get returns the value of key, if there is one that has not expired at now.
func (m *Map[K, V]) Get(now time.Time, key K) (V, bool) {
	var zero V
	e, ok := m.items[key]
	if !ok {
		return zero, false
	}
	it := e.Value.(*item[K, V])
	if m.expired(now, it) {
		return zero, false
	}
	return it.value, true
}

// Put sets the value of key. If the key is new, Put then removes entries as Expire
// does.
func (m *Map[K, V]) Put(now time.Time, key K, value V) {
	if m.items == nil {
		m.items = make(map[K]*list.Element)
	}
	if e, ok := m.items[key]; ok {
		it := e.Value.(*item[K, V])
		it.value = value
		it.putAt = now
		m.order.MoveToFront(e)
		return
	}
	m.items[key] = m.order.PushFront(&item[K, V]{key: key, value: value, putAt: now})
	m.Expire(now)
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	if e, ok := m.items[key]; ok {
		m.remove(e)
	}
}

// Expire removes the entries that have expired at now or exceed MaxEntries.
func (m *Map[K, V]) Expire(now time.Time) {
	for e := m.order.Back(); e != nil; e = m.order.Back() {
		if len(m.items) <= m.MaxEntries && !m.expired(now, e.Value.(*item[K, V])) {
			return
		}
		m.remove(e)
	}
}

// Len returns the number of entries, including expired ones that have not been
// removed yet.
func (m *Map[K, V]) Len() int { return len(m.items) }

// All iterates over the entries that have not expired at now, the one put last
// first. The current entry may be deleted during the iteration.
func (m *Map[K, V]) All(now time.Time) func(yield func(K, V) bool) {
	return func(yield func(K, V) bool) {
		var next *list.Element
		for e := m.order.Front(); e != nil; e = next {
			next = e.Next()
			it := e.Value.(*item[K, V])
			if m.expired(now, it) {
				return
			}
			if !yield(it.key, it.value) {
				return
			}
		}
	}
}

func (m *Map[K, V]) expired(now time.Time, it *item[K, V]) bool {
	return now.Sub(it.putAt) > m.TTL
}

func (m *Map[K, V]) remove(e *list.Element) {
	delete(m.items, e.Value.(*item[K, V]).key)
	m.order.Remove(e)
}
