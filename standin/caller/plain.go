package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"hawthornferry/standin/plain"
)

// onceBody is the body of a once-call. The plain stand-in counts the executions
// of its key.
type onceBody struct {
	Key string `json:"key"`
}

// lookup requests a path that no other call has, and checks that the answer names
// it.
func (c *call) lookup(ctx context.Context) result {
	path := fmt.Sprintf("%s/%s-%d", c.load.LookupPath, c.load.runID, c.serial)
	url := c.route.plainURL(c.attemptIndex(), c.load.LookupService, path)
	resp, err := c.send(ctx, http.MethodGet, url, nil)
	if err != nil {
		return requestFailed(err)
	}
	defer resp.Body.Close()
	a, res := readPlain(resp)
	if res.outcome == Done && !res.notWhole && !strings.HasSuffix(a.Path, path) {
		return invalidAnswer(resp.StatusCode, "another caller's answer")
	}
	return res
}

func (c *call) once(ctx context.Context) result {
	if c.key == "" {
		c.key = fmt.Sprintf("%s-%d", c.load.runID, c.serial)
	}
	if c.needsTicket() {
		if res, ok := c.requestTicket(ctx); !ok {
			return res
		}
	}
	c.assignKey()
	url := c.route.plainURL(c.attemptIndex(), c.load.OnceService, c.load.OncePath)
	resp, err := c.send(ctx, http.MethodPost, url, onceBody{Key: c.key})
	if err != nil {
		return requestFailed(err)
	}
	defer resp.Body.Close()
	a, res := readPlain(resp)
	if res.outcome == Done && !res.notWhole && a.Key != c.key {
		return invalidAnswer(resp.StatusCode, "another caller's answer")
	}
	return res
}

// readPlain reads the answer of the stand-in for a plain service.
func readPlain(resp *http.Response) (plain.Answer, result) {
	var a plain.Answer
	if resp.StatusCode != http.StatusOK {
		return a, readProblem(resp)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return a, truncated(resp.StatusCode)
	}
	if err := json.Unmarshal(b, &a); err != nil {
		return a, invalidAnswer(resp.StatusCode, "not JSON")
	}
	return a, result{outcome: Done, status: resp.StatusCode}
}
