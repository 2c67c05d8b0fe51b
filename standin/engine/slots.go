package engine

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errFull is returned when MaxQueue generations are waiting.
var errFull = errors.New("queue is full")

// generationSlots limits the number of concurrent generations. Further ones wait
// in a queue of limited length, batch generations behind interactive ones.
type generationSlots struct {
	capacity int
	maxQueue int

	mu          sync.Mutex
	running     int
	interactive []chan struct{}
	batch       []chan struct{}
}

// acquire waits for a slot. It returns errFull when the queue is full.
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

// abandon removes a waiter from the queue, or releases its slot if it was granted
// in the meantime.
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

// release passes the slot to the next waiter, if there is one.
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

// load returns the number of generations that run and that wait.
func (s *generationSlots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.interactive) + len(s.batch)
}
