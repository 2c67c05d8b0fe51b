package serve

import "sync"

// Observable is a value that is replaced whole and whose replacement can be
// waited for, such as the faults of a stand-in.
type Observable[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// Get returns the value and a channel that is closed when it is replaced.
func (s *Observable[T]) Get() (T, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.value, s.changed
}

// Set replaces the value.
func (s *Observable[T]) Set(v T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = v
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}
