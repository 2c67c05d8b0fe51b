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

// prefaceLines is the number of lines of a customer's system message. It is the
// same in all prompts of the customer, so that an engine's prefix cache can hold
// it.
const prefaceLines = 12

func (c *call) request(stream bool) engine.Request {
	preface := strings.Repeat("You answer for "+c.customer+".\n", prefaceLines)
	question := fmt.Sprintf("question %s-%d", c.load.runID, c.serial)
	return engine.Request{
		Model:     c.load.ChatService,
		Stream:    stream,
		MaxTokens: c.load.Tokens,
		Messages: []expect.Message{
			{Role: "system", Content: preface},
			{Role: "user", Content: question},
		},
	}
}

func (c *call) completion(ctx context.Context) result {
	q := c.request(false)
	resp, err := c.send(ctx, http.MethodPost, c.route.chatURL(c.attemptIndex()), q)
	if err != nil {
		return requestFailed(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return truncated(resp.StatusCode)
	}
	var a engine.Completion
	if err := json.Unmarshal(b, &a); err != nil {
		return invalidAnswer(resp.StatusCode, "not JSON")
	}
	if len(a.Choices) != 1 || a.Choices[0].FinishReason == "" {
		return invalidAnswer(resp.StatusCode, "not finished")
	}
	return c.checkAnswer(resp, q, a.Choices[0].Message.Content)
}

// checkAnswer checks that the text of an answer that ended properly is the
// complete answer of one of the expected versions, and of the one that the
// response names.
func (c *call) checkAnswer(resp *http.Response, q engine.Request, text string) result {
	named := resp.Header.Get(headerManifest)
	candidates := c.load.Manifests
	if len(candidates) == 0 {
		candidates = []chunk.Digest{chunk.Digest(named)}
	}
	m, ok := expect.Match(candidates, expect.Prompt(q.Messages), text, q.MaxTokens)
	if !ok {
		return invalidAnswer(resp.StatusCode, "not the answer of one version to this prompt")
	}
	if named != "" && named != string(m) {
		return invalidAnswer(resp.StatusCode, "the version named is not the one that answered")
	}
	return result{outcome: Done, status: resp.StatusCode, manifest: string(m)}
}
