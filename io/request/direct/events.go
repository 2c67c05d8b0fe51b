package direct

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/request/space"
	"hawthornferry/io/conn/bound"
)

// event is one event of a stream. raw holds all its bytes, including the final blank
// line. invalidID is set if it has an ID that is not a number.
type event struct {
	raw       []byte
	id        uint64
	hasID     bool
	invalidID bool
}

// eventReader reads the events of a stream. It is not safe for concurrent use.
type eventReader struct {
	in *bufio.Reader
	// hold reserves the memory of an event over smallEvent, and delivered that of the event
	// before it, which is being sent to the caller.
	hold      space.Hold
	delivered space.Hold
	// filler counts the bytes of blank lines and of blocks without an ID or data since the last
	// event that has one.
	filler int
}

// smallEvent is the size in bytes of the events for which no memory is reserved. Events hold
// the tokens of one pass.
const smallEvent = 16 << 10

// next reads one complete event. A block of lines without an ID or data, such as a comment
// that keeps the connection open, counts as one. next returns io.EOF at the end of the stream,
// and io.ErrUnexpectedEOF if the stream ended within an event.
func (r *eventReader) next() (event, error) {
	var e event
	for isFiller := true; ; {
		line, err := r.appendLine(&e)
		if err != nil {
			return event{}, err
		}
		switch {
		case len(line) > 0:
			isFiller = e.readField(line) && isFiller
		case len(bytes.TrimSpace(e.raw)) == 0:
			if err := r.countFiller(len(e.raw)); err != nil {
				return event{}, err
			}
			e.raw = e.raw[:0]
		case isFiller:
			return e, r.countFiller(len(e.raw))
		default:
			r.filler = 0
			return e, nil
		}
	}
}

// deliver is called when the last event has been taken over, so that the one before it has been
// sent.
func (r *eventReader) deliver() {
	r.delivered.Release()
	r.delivered, r.hold = r.hold, space.Hold{Budget: r.hold.Budget}
}

// release gives all memory back.
func (r *eventReader) release() {
	r.hold.Release()
	r.delivered.Release()
}

// readField reads a line of an event. It reports whether the line has neither an ID nor data.
func (e *event) readField(line []byte) (isFiller bool) {
	v, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return !bytes.HasPrefix(line, []byte("data"))
	}
	e.id, e.hasID = parseEventID(string(bytes.TrimSpace(v)))
	e.invalidID = !e.hasID
	return false
}

// minFiller is what a blank line or a comment counts for at least, in bytes: to pass one on
// costs more than its bytes.
const minFiller = 32

func (r *eventReader) countFiller(n int) error {
	if r.filler += max(n, minFiller); r.filler > bound.MaxFillerBytes {
		return bound.Exceeded(bound.Filler, bound.MaxFillerBytes)
	}
	return nil
}

// appendLine reads a line, appends it to e.raw and returns it without its end.
func (r *eventReader) appendLine(e *event) ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := r.in.ReadSlice('\n')
		if len(e.raw)+len(part) > bound.MaxEventBytes {
			return nil, bound.Exceeded(bound.Event, bound.MaxEventBytes)
		}
		if err := r.grow(e, len(part)); err != nil {
			return nil, err
		}
		e.raw = append(e.raw, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// grow makes room for n more bytes of an event.
func (r *eventReader) grow(e *event, n int) error {
	size := len(e.raw) + n
	if size <= smallEvent || size <= cap(e.raw) {
		return nil
	}
	size = min(2*size, bound.MaxEventBytes)
	if !r.hold.GrowSpare(int64(size)) {
		return errNoMemory
	}
	e.raw = append(make([]byte, 0, size), e.raw...)
	return nil
}
