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
type slots struct {
	capacity int
	maxQueue int

	mu          sync.Mutex
	running     int
	interactive []chan struct{}
	batch       []chan struct{}
}

// acquire waits for a slot.
func (s *slots) acquire(ctx context.Context, batch bool) error {
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
	turn := make(chan struct{})
	if batch {
		s.batch = append(s.batch, turn)
	} else {
		s.interactive = append(s.interactive, turn)
	}
	s.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		s.abandon(turn)
		return ctx.Err()
	}
}

// abandon leaves the queue, or gives the slot back when the turn had come.
func (s *slots) abandon(turn chan struct{}) {
	s.mu.Lock()
	left := remove(&s.interactive, turn) || remove(&s.batch, turn)
	s.mu.Unlock()
	if !left {
		s.release()
	}
}

func remove(q *[]chan struct{}, turn chan struct{}) bool {
	for i, t := range *q {
		if t == turn {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return true
		}
	}
	return false
}

// release hands the slot to the next in the queue.
func (s *slots) release() {
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

func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.interactive) + len(s.batch)
}
