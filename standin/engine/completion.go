package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"hawthornferry/standin/expect"
	"hawthornferry/standin/serve"
)

// The object names of the OpenAI chat completions API.
const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
)

// finishStop is the finish reason of a complete answer.
const finishStop = "stop"

// Delta is the text that a chunk adds to the answer.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// ChunkChoice is the one choice of a chunk. FinishReason is nil until the
// last chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one event of a streamed answer. Position is the position of its
// token. The last chunk has no token, and its Position is the number of tokens.
type Chunk struct {
	ID       string        `json:"id"`
	Object   string        `json:"object"`
	Created  int64         `json:"created"`
	Model    string        `json:"model"`
	Position int           `json:"position"`
	Choices  []ChunkChoice `json:"choices"`
}

// Choice is the one choice of an answer that is not streamed.
type Choice struct {
	Index        int            `json:"index"`
	Message      expect.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

// Usage is the number of tokens of an answer that is not streamed.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Completion is an answer that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, g *generation) {
	var b strings.Builder
	for k := g.from; k < g.tokens; k++ {
		if e.waitForToken(w, r, g, k) != nil {
			return
		}
		b.WriteString(g.answer.Token(k))
	}
	serve.WriteJSON(w, http.StatusOK, Completion{
		ID:      newID(),
		Object:  objectCompletion,
		Created: e.Clock.Now().Unix(),
		Model:   g.request.Model,
		Choices: []Choice{{
			Message:      expect.Message{Role: "assistant", Content: b.String()},
			FinishReason: finishStop,
		}},
		Usage: Usage{CompletionTokens: max(0, g.tokens-g.from)},
	})
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, g *generation) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	c := Chunk{
		ID:      newID(),
		Object:  objectChunk,
		Created: e.Clock.Now().Unix(),
		Model:   g.request.Model,
	}
	for k := g.from; k < g.tokens; k++ {
		if e.waitForToken(w, r, g, k) != nil {
			return
		}
		c.Position = k
		c.Choices = []ChunkChoice{{Delta: Delta{Content: g.answer.Token(k)}}}
		if writeEvent(w, c) != nil {
			return
		}
	}
	c.Position = g.tokens
	finish := finishStop
	c.Choices = []ChunkChoice{{FinishReason: &finish}}
	if writeEvent(w, c) != nil {
		return
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// writeEvent writes one event of a stream and flushes it.
func writeEvent(w http.ResponseWriter, c Chunk) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func newID() string { return "chatcmpl-" + uuid.NewString() }
