package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"hawthornferry/standin/engine"
)

// The framing of a stream of server-sent events, and the longest line.
const (
	dataField  = "data:"
	streamDone = "[DONE]"
	maxLine    = 1 << 20
)

// errOutOfOrder is returned for an event that can't be decoded or isn't the next
// one.
var errOutOfOrder = errors.New("position out of order")

// streamState is the part of a stream that was read so far: the text, the next
// position, whether there were a finish reason and [DONE], and the outcome if
// the stream had an error event.
type streamState struct {
	text     strings.Builder
	next     int
	finished bool
	ended    bool
	outcome  Outcome
}

func (c *call) stream(ctx context.Context) result {
	q := c.request(true)
	resp, err := c.send(ctx, http.MethodPost, c.route.chatURL(c.attemptIndex()), q)
	if err != nil {
		return requestFailed(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp)
	}
	var a streamState
	err = c.readEvents(resp.Body, &a)
	if errors.Is(err, errOutOfOrder) {
		return invalidAnswer(resp.StatusCode, err.Error())
	}
	if a.outcome != "" {
		return result{outcome: a.outcome, status: resp.StatusCode, cut: true, fault: "told in the stream"}
	}
	if err != nil || !a.ended {
		return truncated(resp.StatusCode)
	}
	if !a.finished {
		return invalidAnswer(resp.StatusCode, "ended without a finish")
	}
	return c.checkAnswer(resp, q, a.text.String())
}

// readEvents reads until the end of the stream or the first error.
func (c *call) readEvents(r io.Reader, a *streamState) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), dataField)
		if !ok {
			continue
		}
		if err := c.handleEvent(strings.TrimSpace(data), a); err != nil {
			return err
		}
	}
	return s.Err()
}

// handleEvent handles one event: a chunk, an error with an outcome, or [DONE].
func (c *call) handleEvent(data string, a *streamState) error {
	if data == streamDone {
		a.ended = true
		return nil
	}
	var p problem
	if json.Unmarshal([]byte(data), &p) == nil && p.Outcome != "" {
		a.outcome = p.Outcome
		return nil
	}
	var ch engine.Chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil {
		return errors.Mark(err, errOutOfOrder)
	}
	return c.handleChunk(ch, a)
}

func (c *call) handleChunk(ch engine.Chunk, a *streamState) error {
	if a.ended || ch.Position != a.next || len(ch.Choices) != 1 {
		return errors.Wrapf(errOutOfOrder, "position %d, want %d", ch.Position, a.next)
	}
	choice := ch.Choices[0]
	if choice.FinishReason != nil {
		a.finished = true
		return nil
	}
	if a.next == 0 {
		c.firstToken = c.load.Clock.Since(c.start)
	}
	a.next++
	a.text.WriteString(choice.Delta.Content)
	return nil
}
