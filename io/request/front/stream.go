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

// Format of a stream of server-sent events.
const (
	mediaTypeEventStream = "text/event-stream"
	dataField            = "data:"
	endMark              = "[DONE]"
)

// eventTerminators are the byte sequences that end an event.
var eventTerminators = []string{"\n\n", "\r\n\r\n"}

// maxEventBytes limits the size of an event, and maxHeldBytes that of the events without a token that
// follow each other. The bytes of an incomplete event are buffered, and so are events without a token.
const (
	maxEventBytes = 256 << 10
	maxHeldBytes  = 256 << 10
)

var (
	errEventTooLarge = errors.Newf("event is over %d bytes", maxEventBytes)
	errHeldTooLarge  = errors.Newf("events without a token are over %d bytes", maxHeldBytes)
)

// eventRelay passes a stream of generated tokens to the caller, in whole events only.
// It counts the tokens sent, so that another target that serves the same version can
// continue after them.
type eventRelay struct {
	out callerWriter
	// nonStream relays an answer that is not a stream, such as an error.
	nonStream *bufferedRelay
	version   chunk.Digest
	header    http.Header

	unparsed    []byte
	heldEvents  []byte
	tokens      int
	wroteHeader bool
	sawEndMark  bool
}

func newEventRelay(out callerWriter) *eventRelay { return &eventRelay{out: out} }

func (r *eventRelay) onHead(h *sessn.Head) error {
	if !strings.HasPrefix(h.Header.Get("Content-Type"), mediaTypeEventStream) {
		if r.wroteHeader {
			return errTruncated
		}
		r.nonStream = &bufferedRelay{out: r.out}
		return r.nonStream.onHead(h)
	}
	got := chunk.Digest(h.Header.Get(headerManifest))
	// Text of one version continued by another would look like a single answer that
	// neither version would have given.
	if r.wroteHeader && got != r.version {
		return errVersionMismatch
	}
	r.version = got
	r.header = h.Header
	// An engine that ends early sends the length of the part that it sent. If the
	// caller got that length, the part would look complete.
	r.header.Del("Content-Length")
	return nil
}

func (r *eventRelay) onData(b []byte) error {
	if r.nonStream != nil {
		return r.nonStream.onData(b)
	}
	r.unparsed = append(r.unparsed, b...)
	flush := false
	for {
		n := firstEventLength(r.unparsed)
		if n == 0 {
			break
		}
		wrote, err := r.relayEvent(r.unparsed[:n])
		if err != nil {
			return err
		}
		flush = flush || wrote
		r.unparsed = r.unparsed[n:]
	}
	if len(r.unparsed) > maxEventBytes {
		return errEventTooLarge
	}
	if !flush {
		return nil
	}
	return r.out.flush()
}

// firstEventLength returns the length of the first complete event in b with its
// terminator, or 0 if there is none yet.
func firstEventLength(b []byte) int {
	shortest := 0
	for _, end := range eventTerminators {
		if i := bytes.Index(b, []byte(end)); i >= 0 && (shortest == 0 || i+len(end) < shortest) {
			shortest = i + len(end)
		}
	}
	return shortest
}

// relayEvent handles one complete event and reports whether it sent anything. An event
// without a token, such as the last one before the end mark, is held until a later
// event is sent. Otherwise, if the stream were resumed after it, the caller would get
// it twice, as the position to resume from is a number of tokens.
func (r *eventRelay) relayEvent(e []byte) (bool, error) {
	payload := bytes.TrimSpace(bytes.TrimPrefix(e, []byte(dataField)))
	if string(payload) == endMark {
		r.sawEndMark = true
		return true, r.send(e)
	}
	if !hasToken(payload) {
		if len(r.heldEvents)+len(e) > maxHeldBytes {
			return false, errHeldTooLarge
		}
		r.heldEvents = append(r.heldEvents, e...)
		return false, nil
	}
	r.tokens++
	return true, r.send(e)
}

func (r *eventRelay) send(e []byte) error {
	if !r.wroteHeader {
		r.wroteHeader = true
		copyHeader(r.out.w.Header(), r.header)
		r.out.w.WriteHeader(http.StatusOK)
	}
	if len(r.heldEvents) > 0 {
		e = append(r.heldEvents, e...)
		r.heldEvents = nil
	}
	return r.out.send(e)
}

// tokenEvent is the part of an event that shows whether it has a token.
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

// onEnd returns an error unless the end mark has been received. Otherwise a stream
// whose connection closed early would look complete.
func (r *eventRelay) onEnd() error {
	if r.nonStream != nil {
		return r.nonStream.onEnd()
	}
	if !r.sawEndMark {
		return errTruncated
	}
	return nil
}

func (r *eventRelay) started() bool {
	return r.wroteHeader || (r.nonStream != nil && r.nonStream.started())
}

func (r *eventRelay) prepareResume() (chunk.Digest, int) {
	r.unparsed, r.heldEvents, r.nonStream = nil, nil, nil
	if !r.wroteHeader {
		return "", 0
	}
	return r.version, r.tokens
}

// canRetry reports whether another attempt can complete the answer. Once tokens have
// been sent, that takes a target with the same version, so the version must be known.
func (r *eventRelay) canRetry() bool {
	if r.nonStream != nil {
		return r.nonStream.canRetry()
	}
	return !r.sawEndMark && (!r.wroteHeader || r.version != "")
}
