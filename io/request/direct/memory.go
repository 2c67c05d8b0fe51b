package direct

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/request/space"
)

const (
	// memoryRetryAfter is what callers are told to wait that are refused for lack of
	// memory: most bodies are held for less.
	memoryRetryAfter = 400 * time.Millisecond
	// readChunk is by how much the buffer of a body of unknown length grows at least, and
	// writeChunk the most that is written to a caller under one deadline, in bytes.
	readChunk  = 16 << 10
	writeChunk = 64 << 10
)

// errNoMemory is returned if the memory budget doesn't allow a body or an event to be buffered.
var errNoMemory = errors.New("no memory left to buffer it")

// readHeld reads a whole body into memory that it reserves in hold, on top of the given
// number of bytes. length is that of the body, or negative if unknown; grow, a method of hold,
// then reserves more. After errNoMemory, the part that was read is returned, and r continues
// after it.
func readHeld(r io.Reader, length int64, hold *space.Hold, grow func(int64) bool, onTop int64) ([]byte, error) {
	size := max(length, 0)
	if length < 0 {
		size = readChunk
	}
	if !hold.Grow(onTop + size) {
		return nil, errNoMemory
	}
	b := make([]byte, 0, size)
	for {
		if len(b) == cap(b) {
			// A body that has its declared length still has to be read to its end.
			if int64(len(b)) == length {
				return b, expectEnd(r)
			}
			size = 2*int64(cap(b)) + readChunk
			if !grow(onTop + size) {
				return b, errNoMemory
			}
			b = append(make([]byte, 0, size), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// expectEnd reads the end of a body of which the declared length has been read.
func expectEnd(r io.Reader) error {
	var more [1]byte
	for {
		n, err := r.Read(more[:])
		switch {
		case n > 0:
			return errors.New("body is longer than declared")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// copyFrom writes the rest of a response to the caller as it arrives. A caller that reads
// slowly slows the target down.
func (c callerWriter) copyFrom(r io.Reader) (readErr, writeErr error) {
	buf := make([]byte, readChunk)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if werr := errors.CombineErrors(c.write(buf[:n]), c.rc.Flush()); werr != nil {
				return nil, werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
