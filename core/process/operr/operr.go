// Package operr wraps errors with the operation that failed and the process, address
// or file that it involved. The packages that do I/O use it, so that their messages
// have the same form.
package operr

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is the error of an operation. Op describes the operation, such as "read
// answer". Peer is what it involved: a process name, an address or a file name. Peer
// is empty if there is nothing to name.
type Error struct {
	Op   string
	Peer string
	Err  error
}

// Error returns the error as "operation (peer): cause", or as "operation: cause"
// without a peer.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("%s (%s): %v", e.Op, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap returns err with an operation and a peer. It returns nil if err is nil.
func Wrap(op, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Peer: peer, Err: err}
}

// Errorf returns an Error whose cause has the formatted message.
func Errorf(op, peer, format string, args ...any) error {
	return &Error{Op: op, Peer: peer, Err: errors.Newf(format, args...)}
}
