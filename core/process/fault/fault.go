// Package fault gives errors the step and the peer at which they arose.
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is an error met while Step was done with Peer. Peer is a process
// name or an address, and empty when the step involves no other process.
type Error struct {
	Step string
	Peer string
	Err  error
}

// Error returns "step (peer): cause".
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (%s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// At wraps err with the step and the peer. It returns nil for a nil err.
func At(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// Newf makes an error of the step and the peer from a format.
func Newf(step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, Err: errors.Newf(format, args...)}
}
