package front

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/sessn"
)

// Form of a stream of server-sent events.
const (
	mediaEvents = "text/event-stream"
	dataField   = "data:"
	doneData    = "[DONE]"
)

// eventEnds are the ends of an event.
var eventEnds = []string{"\n\n", "\r\n\r\n"}

// maxEvent bounds one event in bytes.
const maxEvent = 256 << 10

var errEvent = errors.Newf("event is over %d bytes", maxEvent)

// eventRelay passes on a generation event by event. It sends whole events
// only, and counts the tokens that the caller has, so that another target
// which serves the same version can go on after them.
type eventRelay struct {
	out callerWriter
	// whole takes over for an answer that is not a stream, such as an error.
	whole   *wholeRelay
	version chunk.Digest
	header  http.Header

	buf    []byte
	held   []byte
	tokens int
	sent   bool
	done   bool
}

func newEventRelay(out callerWriter) *eventRelay { return &eventRelay{out: out} }

func (r *eventRelay) head(h *sessn.Head) error {
	if !strings.HasPrefix(h.Header.Get("Content-Type"), mediaEvents) {
		if r.sent {
			return errCut
		}
		r.whole = &wholeRelay{out: r.out}
		return r.whole.head(h)
	}
	got := chunk.Digest(h.Header.Get(headerManifest))
	// A part of one version followed by a part of another reads as one text
	// that neither would have given.
	if r.sent && got != r.version {
		return errVersion
	}
	r.version = got
	r.header = h.Header
	// An engine that ends early states the length of the part that it sent;
	// passed on, the part would pass for the whole.
	r.header.Del("Content-Length")
	return nil
}

func (r *eventRelay) data(b []byte) error {
	if r.whole != nil {
		return r.whole.data(b)
	}
	r.buf = append(r.buf, b...)
	flush := false
	for {
		n := eventLength(r.buf)
		if n == 0 {
			break
		}
		wrote, err := r.event(r.buf[:n])
		if err != nil {
			return err
		}
		flush = flush || wrote
		r.buf = r.buf[n:]
	}
	if len(r.buf) > maxEvent {
		return errEvent
	}
	if !flush {
		return nil
	}
	return r.out.flush()
}

// eventLength is the length of the first whole event of b with its end, 0
// when there is none yet.
func eventLength(b []byte) int {
	best := 0
	for _, end := range eventEnds {
		if i := bytes.Index(b, []byte(end)); i >= 0 && (best == 0 || i+len(end) < best) {
			best = i + len(end)
		}
	}
	return best
}

// event takes one whole event. One without a token, such as the last before
// the end, is held until what follows it has come: were the stream resumed
// after it, the caller would get it twice.
func (r *eventRelay) event(e []byte) (bool, error) {
	payload := bytes.TrimSpace(bytes.TrimPrefix(e, []byte(dataField)))
	if string(payload) == doneData {
		r.done = true
		return true, r.send(e)
	}
	if !hasToken(payload) {
		r.held = append(r.held, e...)
		return false, nil
	}
	r.tokens++
	return true, r.send(e)
}

func (r *eventRelay) send(e []byte) error {
	if !r.sent {
		r.sent = true
		copyHeader(r.out.w.Header(), r.header)
		r.out.w.WriteHeader(http.StatusOK)
	}
	if len(r.held) > 0 {
		e = append(r.held, e...)
		r.held = nil
	}
	return r.out.send(e)
}

// tokenEvent is the part of an event that tells whether it has a token.
type tokenEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func hasToken(payload []byte) bool {
	var e tokenEvent
	if json.Unmarshal(payload, &e) != nil {
		return false
	}
	return len(e.Choices) > 0 && e.Choices[0].Delta.Content != ""
}

// end accepts the end only after the event that marks it: a connection that
// closed early would otherwise pass for a whole answer.
func (r *eventRelay) end() error {
	if r.whole != nil {
		return r.whole.end()
	}
	if !r.done {
		return errCut
	}
	return nil
}

func (r *eventRelay) begun() bool { return r.sent || (r.whole != nil && r.whole.begun()) }

func (r *eventRelay) resume() (chunk.Digest, int) {
	r.buf, r.held, r.whole = nil, nil, nil
	if !r.sent {
		return "", 0
	}
	return r.version, r.tokens
}

// possible: a stream can go on only on a known version.
func (r *eventRelay) possible() bool {
	if r.whole != nil {
		return r.whole.possible()
	}
	return !r.done && (!r.sent || r.version != "")
}
