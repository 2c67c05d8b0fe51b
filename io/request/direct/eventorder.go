package direct

import (
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors of events that must not be passed on. The stream is continued at another target, if
// it may be resumed.
var (
	// errOrder is returned for an event that the caller has, or that others are missing before.
	errOrder = errors.New("event out of order")
	// errEventID is returned for an event whose ID cannot be compared with others.
	errEventID = errors.New("the event's ID is not a whole number below 2^64")
)

// eventSteps holds the largest difference between the IDs of two events that a target of a
// service has sent one after the other. Within one target's stream, IDs may rise by any number.
// A target that continues the stream of another one is taken to have left events out if its
// first ID is further away than that. While no difference is known, only the very next ID is
// certain to leave none out.
type eventSteps struct {
	mu      sync.Mutex
	largest map[string]uint64
}

func (s *eventSteps) record(service string, step uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.largest == nil {
		s.largest = map[string]uint64{}
	}
	s.largest[service] = max(s.largest[service], step)
}

// mayFollow reports whether a target of the service that continues a stream after an event may
// do so with the given one. certain is set if that must be known.
func (s *eventSteps) mayFollow(service string, last, id uint64, certain bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	largest, known := s.largest[service]
	switch {
	case id <= last:
		return false
	case id-last == 1:
		return true
	case known:
		return id-last <= largest
	default:
		return !certain
	}
}

// parseEventID returns the ID that a caller or a target has given, false if it is none that can
// be compared.
func parseEventID(s string) (uint64, bool) {
	id, err := strconv.ParseUint(s, 10, 64)
	return id, err == nil
}

// checkOrder returns an error unless an event of the present target may be sent to the caller
// after those that it has and the buffered ones.
func (f *streamForwarder) checkOrder(e event) error {
	switch {
	case e.invalidID:
		return errEventID
	case !e.hasID:
		return nil
	}
	last, known := f.lastReceived()
	switch {
	case !known:
	case f.sourceHasID:
		if e.id <= last {
			return errOrder
		}
		f.server.eventSteps.record(f.q.service.Name, e.id-last)
	// A caller that resumes a stream itself can see what it lacks, but not one whose response
	// goes on at another target.
	case !f.server.eventSteps.mayFollow(f.q.service.Name, last, e.id, f.headSent):
		return errOrder
	}
	f.sourceHasID = true
	return nil
}

// lastReceived returns the ID of the last event that the caller has or that is buffered, false
// if none has an ID.
func (f *streamForwarder) lastReceived() (uint64, bool) {
	if f.pending != nil {
		for i := len(f.pending.buffered) - 1; i >= 0; i-- {
			if e := f.pending.buffered[i]; e.hasID {
				return e.id, true
			}
		}
	}
	return f.lastID, f.hasLastID
}

// mayContinueWith returns an error unless the stream may go on at a successor whose first event
// is the given one. Where the present target has sent the next event, that decides.
func (f *streamForwarder) mayContinueWith(e event) error {
	switch {
	case e.invalidID:
		return errEventID
	case !e.hasID || !f.hasLastID:
		return nil
	}
	for _, next := range f.pending.buffered {
		if next.hasID && (e.id <= f.lastID || e.id > next.id) {
			return errOrder
		}
		if next.hasID {
			return nil
		}
	}
	if !f.server.eventSteps.mayFollow(f.q.service.Name, f.lastID, e.id, true) {
		return errOrder
	}
	return nil
}
