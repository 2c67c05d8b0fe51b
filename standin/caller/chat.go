package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/engine"
	"hawthornferry/standin/expect"
)

// prefaceLines is how long each customer's instructions are; they are the
// same in all its prompts, so that an engine's prefix cache can hold them.
const prefaceLines = 12

func (c *call) request(stream bool) engine.Request {
	preface := strings.Repeat("You answer for "+c.customer+".\n", prefaceLines)
	question := fmt.Sprintf("question %s-%d", c.load.run, c.serial)
	return engine.Request{
		Model:     c.load.Chat,
		Stream:    stream,
		MaxTokens: c.load.Tokens,
		Messages: []expect.Message{
			{Role: "system", Content: preface},
			{Role: "user", Content: question},
		},
	}
}

func (c *call) whole(ctx context.Context) result {
	q := c.request(false)
	resp, err := c.send(ctx, http.MethodPost, c.lane.chatURL(c.route()), q)
	if err != nil {
		return lost(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return partial(resp.StatusCode)
	}
	var a engine.Completion
	if err := json.Unmarshal(b, &a); err != nil {
		return wrong(resp.StatusCode, "not JSON")
	}
	if len(a.Choices) != 1 || a.Choices[0].FinishReason == "" {
		return wrong(resp.StatusCode, "not finished")
	}
	return c.judge(resp, q, a.Choices[0].Message.Content)
}

// judge checks the text of an answer that ended as a complete one does.
func (c *call) judge(resp *http.Response, q engine.Request, text string) result {
	named := resp.Header.Get(headerManifest)
	candidates := c.load.Manifests
	if len(candidates) == 0 {
		candidates = []chunk.Digest{chunk.Digest(named)}
	}
	m, ok := expect.Match(candidates, expect.Prompt(q.Messages), text, q.MaxTokens)
	if !ok {
		return wrong(resp.StatusCode, "not the answer of one version to this prompt")
	}
	if named != "" && named != string(m) {
		return wrong(resp.StatusCode, "the version named is not the one that answered")
	}
	return result{outcome: Done, status: resp.StatusCode, manifest: string(m)}
}
