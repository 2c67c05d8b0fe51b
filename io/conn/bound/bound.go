// Package bound defines how much may be read of what another machine sends, and cuts off what
// exceeds that. A faulty machine may send bytes without end; whoever reads them would run out
// of memory, or be busy with them until its caller has given up. All packages that read from
// other machines take their limits from here. A connection on which a read was cut off must be
// closed: what follows on it has no meaning.
//
// docs/design/bounded-reads.md lists the readers with their limits.
package bound

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// Name names a bound in logs and metrics.
type Name string

// The bounds. Format is exceeded by what is not valid at all, however short it is.
const (
	Format Name = "format"
	Head   Name = "head"
	Event  Name = "event"
	Filler Name = "filler"
	Answer Name = "answer"
)

// Limits of the heads of HTTP requests and responses.
const (
	// MaxHeadBytes is twice the header_bytes that deployments allow callers and targets.
	MaxHeadBytes = 32 << 10
	// MaxHeadLines bounds the lines of the heads of one response, with those of interim
	// responses. Proxies reject requests and responses with more than 100 fields. Each line
	// takes some hundred bytes of memory, however short it is.
	MaxHeadLines = 256
)

// MaxBodyBytes bounds the body of a caller's request if the configuration doesn't.
const MaxBodyBytes = 16 << 20

// Limits of the answers of targets.
const (
	// MaxEventBytes bounds one event of a stream. Its last one may repeat a whole answer, some
	// hundred KiB.
	MaxEventBytes = 1 << 20
	// MaxFillerBytes bounds the blank lines and the blocks of lines without an ID or data that
	// follow each other in a stream. A short comment every 100 ms, which counts for 32 bytes,
	// keeps a connection open for more than 3 minutes.
	MaxFillerBytes = 64 << 10
	// MaxAnswerBytes bounds an answer that is no stream and does not declare its length.
	MaxAnswerBytes = 16 << 20
)

// CutOffError reports that a read was cut off at a bound.
type CutOffError struct {
	Bound  Name
	Reason string
}

// Error returns the bound and the reason.
func (e *CutOffError) Error() string { return string(e.Bound) + ": " + e.Reason }

// Exceeded returns the error for more than limit bytes.
func Exceeded(n Name, limit int64) error {
	return &CutOffError{Bound: n, Reason: fmt.Sprintf("more than %d bytes", limit)}
}

// Invalid returns the error for data that is not valid.
func Invalid(reason string) error { return &CutOffError{Bound: Format, Reason: reason} }

// Of returns the bound at which a read was cut off. It returns false if err has another
// cause.
func Of(err error) (Name, bool) {
	var cut *CutOffError
	if !errors.As(err, &cut) {
		return "", false
	}
	return cut.Bound, true
}

// Classify turns the error of a parser that has read from a connection into a CutOffError,
// unless the connection ended or failed.
func Classify(err error) error {
	var failure net.Error
	switch _, cut := Of(err); {
	case err == nil || cut:
		return err
	case errors.As(err, &failure):
		return err
	case errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, net.ErrClosed, context.Canceled, context.DeadlineExceeded):
		return err
	default:
		return Invalid(err.Error())
	}
}
