package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/expect"
	"hawthornferry/standin/serve"
)

// The number of tokens of a request that sets no max_tokens, and the largest
// max_tokens.
const (
	defaultTokens = 16
	maxTokens     = 1 << 16
)

// The headers of a chat request and its response.
const (
	headerManifest = "X-Manifest"
	headerResume   = "X-Resume-From"
	headerPriority = "X-Priority"
)

// priorityBatch is the X-Priority of a request that is queued behind all
// interactive ones.
const priorityBatch = "batch"

// queueRetry is sent as Retry-After when the queue is full.
const queueRetry = time.Second

// Request is a chat completion request. Other fields of the OpenAI form are
// ignored.
type Request struct {
	Model     string           `json:"model"`
	Messages  []expect.Message `json:"messages"`
	Stream    bool             `json:"stream"`
	MaxTokens int              `json:"max_tokens"`
}

// Check returns an error for the first field with an invalid value.
func (q Request) Check() error {
	if len(q.Messages) == 0 {
		return errors.New("messages are empty")
	}
	if q.MaxTokens < 0 || q.MaxTokens > maxTokens {
		return errors.Newf("max_tokens %d: want 0 to %d", q.MaxTokens, maxTokens)
	}
	return nil
}

// generation is one answer that is being generated: the tokens from up to, and
// without, tokens.
type generation struct {
	request  Request
	manifest chunk.Digest
	answer   expect.Answer
	from     int
	tokens   int
	faults   FaultSettings
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	q, from, err := readChat(w, r)
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	faults := e.faults.nextForChat()
	if faults.Status != 0 {
		serve.WriteProblem(w, faults.Status, "fault")
		return
	}
	err = e.slots.acquire(r.Context(), r.Header.Get(headerPriority) == priorityBatch)
	if errors.Is(err, errFull) {
		serve.WriteTooManyRequests(w, queueRetry)
		return
	}
	if err != nil {
		return
	}
	defer e.slots.release()
	manifest, ok := e.servingManifest()
	if !ok {
		w.Header().Set("Retry-After", "1")
		serve.WriteProblem(w, http.StatusServiceUnavailable, "no version is served")
		return
	}
	g := newGeneration(q, manifest, from, faults)
	if e.prefill(r, q) != nil {
		return
	}
	w.Header().Set(headerManifest, string(manifest))
	if q.Stream {
		e.writeStream(w, r, g)
		return
	}
	e.writeCompletion(w, r, g)
}

func readChat(w http.ResponseWriter, r *http.Request) (Request, int, error) {
	q, err := serve.DecodeJSONLenient[Request](w, r)
	if err != nil {
		return q, 0, err
	}
	if err := q.Check(); err != nil {
		return q, 0, err
	}
	s := r.Header.Get(headerResume)
	if s == "" {
		return q, 0, nil
	}
	from, err := strconv.Atoi(s)
	if err != nil || from < 0 {
		return q, 0, errors.Newf("%s %q: want a position", headerResume, s)
	}
	return q, from, nil
}

// servingManifest returns the version that the engine serves. It returns false
// when there is none or a load is in its SwitchTime. A generation keeps to the
// version with which it began.
func (e *Engine) servingManifest() (chunk.Digest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.manifest, e.manifest != "" && e.switching == 0
}

func newGeneration(q Request, manifest chunk.Digest, from int, faults FaultSettings) *generation {
	g := &generation{request: q, manifest: manifest, from: from, tokens: q.MaxTokens, faults: faults}
	if g.tokens == 0 {
		g.tokens = defaultTokens
	}
	g.answer = expect.NewAnswer(manifest, expect.Prompt(q.Messages))
	return g
}

// prefill waits PrefillDelay for each block of the prompt that is not cached.
func (e *Engine) prefill(r *http.Request, q Request) error {
	missed := e.cache.touch(expect.PrefixHashes(expect.Prompt(q.Messages)), e.Clock.Now())
	return serve.Sleep(r.Context(), e.Clock, time.Duration(missed)*e.PrefillDelay)
}

// waitForToken waits as long as the token at a position takes, or closes the
// connection if CutAfter tokens were sent.
func (e *Engine) waitForToken(w http.ResponseWriter, r *http.Request, g *generation, position int) error {
	if g.faults.CutAfter != nil && position-g.from >= *g.faults.CutAfter {
		serve.AbortConnection(w)
	}
	delay := e.TokenDelay
	if s, _ := e.faults.settings.Get(); s.TokenDelay > 0 {
		delay = time.Duration(s.TokenDelay)
	}
	if err := serve.Sleep(r.Context(), e.Clock, delay); err != nil {
		return err
	}
	return e.faults.waitWhilePaused(r.Context(), e.Clock)
}
