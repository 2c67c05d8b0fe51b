// Package aged holds a table that is bounded in entries and in age. Whatever
// is learnt from other processes is kept in one: entries of targets, keys and
// customers that no longer exist would otherwise pile up over weeks.
package aged

import (
	"container/list"
	"time"
)

// Table maps keys to values. Set the exported fields before the first use. It
// is not safe for concurrent use.
type Table[K comparable, V any] struct {
	// Max is the most entries; the least recently put one gives way.
	Max int
	// Age is how long an entry lives after it was last put.
	Age time.Duration

	items map[K]*list.Element
	order list.List
}

type item[K comparable, V any] struct {
	key   K
	value V
	put   time.Time
}

// Get returns the value of key, if there is one that is not too old at now.
func (t *Table[K, V]) Get(now time.Time, key K) (V, bool) {
	var zero V
	e, ok := t.items[key]
	if !ok {
		return zero, false
	}
	it := e.Value.(*item[K, V])
	if t.old(now, it) {
		return zero, false
	}
	return it.value, true
}

// Put sets the value of key and drops what is too old or over the bound.
func (t *Table[K, V]) Put(now time.Time, key K, value V) {
	if t.items == nil {
		t.items = make(map[K]*list.Element)
	}
	if e, ok := t.items[key]; ok {
		it := e.Value.(*item[K, V])
		it.value = value
		it.put = now
		t.order.MoveToFront(e)
		return
	}
	t.items[key] = t.order.PushFront(&item[K, V]{key: key, value: value, put: now})
	t.Expire(now)
}

// Delete drops key.
func (t *Table[K, V]) Delete(key K) {
	if e, ok := t.items[key]; ok {
		t.drop(e)
	}
}

// Expire drops what is too old at now or over the bound.
func (t *Table[K, V]) Expire(now time.Time) {
	for e := t.order.Back(); e != nil; e = t.order.Back() {
		if len(t.items) <= t.Max && !t.old(now, e.Value.(*item[K, V])) {
			return
		}
		t.drop(e)
	}
}

// Len returns the number of entries, the too old ones included that no Put
// or Expire has dropped yet.
func (t *Table[K, V]) Len() int { return len(t.items) }

// All calls yield for each entry that is not too old at now, the latest put
// first.
func (t *Table[K, V]) All(now time.Time) func(yield func(K, V) bool) {
	return func(yield func(K, V) bool) {
		var next *list.Element
		for e := t.order.Front(); e != nil; e = next {
			next = e.Next()
			it := e.Value.(*item[K, V])
			if t.old(now, it) {
				return
			}
			if !yield(it.key, it.value) {
				return
			}
		}
	}
}

func (t *Table[K, V]) old(now time.Time, it *item[K, V]) bool {
	return now.Sub(it.put) > t.Age
}

func (t *Table[K, V]) drop(e *list.Element) {
	delete(t.items, e.Value.(*item[K, V]).key)
	t.order.Remove(e)
}
