package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/request/resend"
)

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// errOrder is returned for an event that does not follow the last one.
var errOrder = errors.New("event out of order")

// event is one event of a stream: its bytes, the blank line included, and its
// id where it has one.
type event struct {
	raw   []byte
	id    uint64
	hasID bool
}

// readEvent reads one whole event. It returns io.EOF at the end of a stream,
// and io.ErrUnexpectedEOF when the stream ended in the middle of one.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw)+len(line) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEvent {
			return event{}, errors.Newf("event is over %d bytes", maxEvent)
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			if len(bytes.TrimSpace(e.raw)) == 0 {
				e.raw = nil
				continue
			}
			return e, nil
		}
		if v, ok := strings.CutPrefix(text, "id:"); ok {
			id, err := strconv.ParseUint(strings.TrimSpace(v), 10, 64)
			if err == nil {
				e.id, e.hasID = id, true
			}
		}
	}
}

// streamRelay passes events on as they come. The head of the first answer is
// written with its first event, so that a target that fails before it can be
// replaced unseen.
type streamRelay struct {
	server *Server
	q      *request
	out    callerWriter

	started bool
	// fresh is set until the present target has sent its first event.
	fresh   bool
	last    uint64
	hasLast bool
	// handed is when the caller was last sent an event.
	handed time.Time
	// whole takes an answer that is not a stream.
	whole *wholeRelay
}

func (r *streamRelay) take(ctx context.Context, x *exchange, g *guard) (resend.Outcome, error) {
	if !isStream(x.resp) {
		return r.takeWhole(ctx, x, g)
	}
	r.q.story.status = x.resp.StatusCode
	r.fresh = true
	f := &flow{streamRelay: r, ctx: ctx, x: x, guard: g, events: x.messages()}
	return f.run()
}

// isStream reports whether an answer is a stream of events.
func isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream)
}

// follows reports whether an event is the next one after those that the caller has and
// as many more.
func (r *streamRelay) follows(e event, more int) bool {
	if !e.hasID || !r.hasLast {
		return true
	}
	return e.id == r.last+uint64(more)+1
}

func (r *streamRelay) pass(x *exchange, e event) error {
	if r.fresh {
		r.fresh = false
		r.server.desk.began(r.q.placementID)
	}
	if !r.started {
		r.started = true
		r.q.story.first = r.server.Clock.Since(r.q.arrived)
		r.server.meter.first(r.q.story.first)
		r.out.head(x.resp, -1)
	}
	if e.hasID {
		if r.q.story.began.IsZero() {
			r.q.story.began = r.server.Clock.Now()
		}
		r.last, r.hasLast = e.id, true
		r.q.lastEvent = strconv.FormatUint(e.id, 10)
	}
	if err := r.out.send(e.raw); err != nil {
		return err
	}
	r.handed = r.server.Clock.Now()
	return r.out.rc.Flush()
}

// end takes the end of a stream that its target marked as complete.
func (r *streamRelay) end(x *exchange) resend.Outcome {
	if !r.started {
		r.out.head(x.resp, -1)
		r.started = true
	}
	return resend.Relayed
}

// takeWhole takes an answer that is not a stream of events: a failure.
func (r *streamRelay) takeWhole(ctx context.Context, x *exchange, g *guard) (resend.Outcome, error) {
	if r.started {
		r.q.story.cut = errors.Newf("status %d in place of the rest of a stream", x.resp.StatusCode)
		return resend.Broken, x.reason()
	}
	if r.whole == nil {
		r.whole = &wholeRelay{q: r.q, out: r.out}
	}
	return r.whole.take(ctx, x, g)
}

func (r *streamRelay) begun() bool { return r.started || (r.whole != nil && r.whole.passed) }

func (r *streamRelay) final() bool { return r.whole != nil && !r.started && r.whole.final() }
