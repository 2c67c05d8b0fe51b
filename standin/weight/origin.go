package weight

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/serve"
)

// linkPiece is how many bytes are sent at a time; the link's rate is kept to
// within one piece for each transfer.
const linkPiece = 16 << 10

// retryAfter is what a client over MaxTransfers is asked to wait.
const retryAfter = time.Second

// OriginFaults are the faults of the origin. Every Nth chunk request is hit;
// 0 hits none. A corrupted chunk has one bit changed, a stalled one halts
// half way until the client leaves or the faults are replaced, a short one
// ends half way.
type OriginFaults struct {
	CorruptEvery uint64 `json:"corruptEvery"`
	StallEvery   uint64 `json:"stallEvery"`
	ShortEvery   uint64 `json:"shortEvery"`
	Status       int    `json:"status"`
	StatusEvery  uint64 `json:"statusEvery"`
}

// Bytes is the count of chunk bytes that the origin sent.
type Bytes struct {
	Bytes    int64 `json:"bytes"`
	Requests int64 `json:"requests"`
}

// Origin holds the chunks behind a link of Link bytes a second, shared by at
// most MaxTransfers transfers. Set the exported fields before it serves.
type Origin struct {
	Shelf        *Shelf
	Link         int64
	MaxTransfers int64
	Clock        clockwork.Clock

	once      sync.Once
	limiter   *rate.Limiter
	transfers atomic.Int64
	requests  atomic.Uint64
	sent      atomic.Int64
	faults    serve.Setting[OriginFaults]
}

// Handler returns the HTTP interface.
func (o *Origin) Handler() http.Handler {
	o.once.Do(func() { o.limiter = rate.NewLimiter(rate.Limit(o.Link), 4*linkPiece) })
	r := mux.NewRouter()
	r.HandleFunc("/v1/chunks/{digest}", o.chunk).Methods(http.MethodGet)
	r.HandleFunc("/control/versions", addVersion(o.Shelf)).Methods(http.MethodPut)
	r.HandleFunc("/control/bytes", o.count).Methods(http.MethodGet)
	r.HandleFunc("/control/faults", o.setFaults).Methods(http.MethodPost)
	return r
}

func (o *Origin) chunk(w http.ResponseWriter, r *http.Request) {
	if o.transfers.Add(1) > o.MaxTransfers {
		o.transfers.Add(-1)
		serve.TooMany(w, retryAfter)
		return
	}
	defer o.transfers.Add(-1)
	n := o.requests.Add(1)
	f, changed := o.faults.Get()
	if every(n, f.StatusEvery) && f.Status != 0 {
		serve.Fail(w, f.Status, "fault")
		return
	}
	b, ok := o.Shelf.Chunk(chunk.Digest(mux.Vars(r)["digest"]))
	if !ok {
		serve.Fail(w, http.StatusNotFound, "no such chunk")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	o.transfer(r.Context(), w, b, n, f, changed)
}

// transfer sends a chunk with the faults that its request number meets.
func (o *Origin) transfer(ctx context.Context, w http.ResponseWriter, b []byte, n uint64, f OriginFaults, changed <-chan struct{}) {
	half := len(b) / 2
	if every(n, f.CorruptEvery) {
		b[half] ^= 1
	}
	if o.send(ctx, w, b[:half]) != nil {
		return
	}
	if every(n, f.ShortEvery) {
		serve.Cut(w)
	}
	if every(n, f.StallEvery) {
		_ = http.NewResponseController(w).Flush()
		await(ctx, changed)
	}
	_ = o.send(ctx, w, b[half:])
}

// send writes b at the rate of the link.
func (o *Origin) send(ctx context.Context, w http.ResponseWriter, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), linkPiece)
		now := o.Clock.Now()
		wait := o.limiter.ReserveN(now, n).DelayFrom(now)
		if err := serve.Sleep(ctx, o.Clock, wait); err != nil {
			return err
		}
		if _, err := w.Write(b[:n]); err != nil {
			return err
		}
		o.sent.Add(int64(n))
		b = b[n:]
	}
	return nil
}

func (o *Origin) count(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, Bytes{Bytes: o.sent.Load(), Requests: int64(o.requests.Load())})
}

func (o *Origin) setFaults(w http.ResponseWriter, r *http.Request) {
	f, err := serve.Read[OriginFaults](w, r)
	if err != nil {
		serve.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	o.faults.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

func every(n, each uint64) bool { return each > 0 && n%each == 0 }

func await(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}
