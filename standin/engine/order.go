package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/serve"
)

// maxLoads is the number of loads that are listed; older ones are dropped.
const maxLoads = 1024

// Action is the action that an order requests.
type Action string

// ActionLoad requests that the engine load a version and serve it.
const ActionLoad Action = "load"

// Order is an order to the engine. Body is the manifest whose canonical bytes
// have the digest Manifest.
type Order struct {
	Number   uint64         `json:"number"`
	Action   Action         `json:"action"`
	Manifest chunk.Digest   `json:"manifest"`
	Body     chunk.Manifest `json:"body"`
}

// OrderConflict is the response to an order that is refused because its number
// is not above LastOrder.
type OrderConflict struct {
	LastOrder uint64 `json:"lastOrder"`
}

// LoadOutcome says how a load ended.
type LoadOutcome string

// The outcomes of a load. A superseded load was dropped because a later order was
// accepted before it began to switch.
const (
	LoadRunning    LoadOutcome = "running"
	LoadDone       LoadOutcome = "done"
	LoadFailed     LoadOutcome = "failed"
	LoadSuperseded LoadOutcome = "superseded"
)

// Load is one order that the engine accepted. Reason says why it failed.
type Load struct {
	Number   uint64       `json:"number"`
	Manifest chunk.Digest `json:"manifest"`
	Outcome  LoadOutcome  `json:"outcome"`
	Reason   string       `json:"reason,omitempty"`
}

// Loads lists the orders that the engine accepted, the oldest first. Refused is
// the number of orders that it refused with an OrderConflict.
type Loads struct {
	Loads   []Load `json:"loads"`
	Refused int    `json:"refused"`
}

// Check returns an error for the first field that is invalid.
func (o Order) Check() error {
	if o.Action != ActionLoad {
		return errors.Newf("order: unknown action %q", o.Action)
	}
	if err := o.Body.Check(); err != nil {
		return errors.Wrap(err, "order")
	}
	b, err := o.Body.Encode()
	if err != nil {
		return errors.Wrap(err, "order")
	}
	if got := chunk.DigestOf(b); got != o.Manifest {
		return errors.Newf("order: body has digest %s, want %s", got, o.Manifest)
	}
	return nil
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	o, err := serve.DecodeJSON[Order](w, r)
	if err == nil {
		err = o.Check()
	}
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	chunks, err := e.stagedChunks(o.Body)
	if err != nil {
		serve.WriteProblem(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	last, n, ok := e.recordOrder(o)
	if !ok {
		serve.WriteJSON(w, http.StatusConflict, OrderConflict{LastOrder: last})
		return
	}
	go e.load(n, o, chunks)
	w.WriteHeader(http.StatusAccepted)
}

// stagedChunks returns the bytes of every chunk, or an error that names one that
// is not staged. A load keeps the bytes of a chunk that is deleted while it
// runs.
func (e *Engine) stagedChunks(m chunk.Manifest) ([][]byte, error) {
	out := make([][]byte, 0, len(m.Chunks))
	for _, c := range m.Chunks {
		actual, ok := e.staging.get(c.Digest)
		if !ok {
			return nil, errors.Newf("chunk %s is not staged", c.Digest)
		}
		out = append(out, e.Pool.bytes(actual))
	}
	return out, nil
}

// recordOrder accepts the order and returns the number n of its load. It returns
// false when the engine checks order numbers and o.Number is not above the last
// order's.
func (e *Engine) recordOrder(o Order) (last uint64, n int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fencing == envdoc.FencingChecked && o.Number <= e.lastOrder {
		e.refused++
		return e.lastOrder, 0, false
	}
	e.lastOrder = o.Number
	e.loading = o.Manifest
	e.newestLoad++
	e.loads = append(e.loads, Load{Number: o.Number, Manifest: o.Manifest, Outcome: LoadRunning})
	e.loads = e.loads[max(0, len(e.loads)-maxLoads):]
	return e.lastOrder, e.newestLoad, true
}

// load waits LoadTime, verifies the content digest and switches to the version,
// unless a later order was accepted in the meantime.
func (e *Engine) load(n int, o Order, chunks [][]byte) {
	ctx := context.Background()
	_ = serve.Sleep(ctx, e.Clock, e.LoadTime)
	if err := verifyContent(o.Body, chunks); err != nil {
		e.finish(n, o, LoadFailed, err.Error())
		return
	}
	if !e.beginSwitch(n) {
		e.finish(n, o, LoadSuperseded, "")
		return
	}
	_ = serve.Sleep(ctx, e.Clock, e.SwitchTime)
	e.finish(n, o, LoadDone, "")
}

func verifyContent(m chunk.Manifest, chunks [][]byte) error {
	h := sha256.New()
	for _, b := range chunks {
		_, _ = h.Write(b)
	}
	if got := chunk.Digest("sha256:" + hex.EncodeToString(h.Sum(nil))); got != m.ContentDigest {
		return errors.Newf("weights have digest %s, want %s", got, m.ContentDigest)
	}
	return nil
}

func (e *Engine) beginSwitch(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n != e.newestLoad {
		return false
	}
	e.switching++
	return true
}

// finish records how load n ended. A load that was superseded within its
// SwitchTime is served nevertheless, until the later load is done.
func (e *Engine) finish(n int, o Order, out LoadOutcome, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordOutcome(o, out, reason)
	if out == LoadDone {
		e.switching--
		e.manifest = o.Manifest
		e.serving = o.Body
		e.cache.clear(e.Clock.Now())
	}
	if n != e.newestLoad {
		return
	}
	e.loading = ""
	e.lastError = reason
}

func (e *Engine) recordOutcome(o Order, out LoadOutcome, reason string) {
	for i := range slices.Backward(e.loads) {
		l := &e.loads[i]
		if l.Number == o.Number && l.Manifest == o.Manifest && l.Outcome == LoadRunning {
			l.Outcome = out
			l.Reason = reason
			return
		}
	}
}

func (e *Engine) listLoads(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, Loads{Loads: slices.Clone(e.loads), Refused: e.refused})
}
