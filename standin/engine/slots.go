package engine

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errFull is returned when the queue has no room.
var errFull = errors.New("queue is full")

// slots bounds how many generations run, with a bounded queue in which batch
// generations wait behind interactive ones.
type generationSlots struct {
	capacity int
	maxQueue int

	mu          sync.Mutex
	running     int
	interactive []chan struct{}
	batch       []chan struct{}
}

// acquire waits for a slot.
func (s *generationSlots) acquire(ctx context.Context, batch bool) error {
	s.mu.Lock()
	if s.running < s.capacity {
		s.running++
		s.mu.Unlock()
		return nil
	}
	if len(s.interactive)+len(s.batch) >= s.maxQueue {
		s.mu.Unlock()
		return errFull
	}
	granted := make(chan struct{})
	if batch {
		s.batch = append(s.batch, granted)
	} else {
		s.interactive = append(s.interactive, granted)
	}
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.abandon(granted)
		return ctx.Err()
	}
}

// abandon leaves the queue, or gives the slot back when the turn had come.
func (s *generationSlots) abandon(granted chan struct{}) {
	s.mu.Lock()
	left := remove(&s.interactive, granted) || remove(&s.batch, granted)
	s.mu.Unlock()
	if !left {
		s.release()
	}
}

func remove(q *[]chan struct{}, granted chan struct{}) bool {
	for i, t := range *q {
		if t == granted {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return true
		}
	}
	return false
}

// release hands the slot to the next in the queue.
func (s *generationSlots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.interactive
	if len(*q) == 0 {
		q = &s.batch
	}
	if len(*q) == 0 {
		s.running--
		return
	}
	close((*q)[0])
	*q = (*q)[1:]
}

func (s *generationSlots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.interactive) + len(s.batch)
}
