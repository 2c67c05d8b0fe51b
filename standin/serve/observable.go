package serve

import "sync"

// Observable is a value, such as the faults of a stand-in, whose replacement a
// reader can wait for. Its zero value holds the zero value of T.
type Observable[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// Get returns the value and a channel that is closed when the value is
// replaced.
func (s *Observable[T]) Get() (T, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.value, s.changed
}

// Set replaces the value and closes the channel that Get returned before.
func (s *Observable[T]) Set(v T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = v
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}
