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

// writeSize is the number of bytes of one write. Each write waits for the rate
// limiter, so that the link's rate is kept to within one write for each transfer,
// apart from the limiter's burst of four writes.
const writeSize = 16 << 10

// retryAfter is sent to a client whose request exceeds MaxTransfers.
const retryAfter = time.Second

// OriginFaults are the faults that the origin injects, each in every N-th chunk
// request; 0 injects none. A corrupted chunk has one bit flipped. A stalled
// transfer stops half way until the client closes the connection or the faults
// are replaced. A short one closes the connection half way. Status is returned
// in place of every StatusEvery-th chunk.
type OriginFaults struct {
	CorruptEvery uint64 `json:"corruptEvery"`
	StallEvery   uint64 `json:"stallEvery"`
	ShortEvery   uint64 `json:"shortEvery"`
	Status       int    `json:"status"`
	StatusEvery  uint64 `json:"statusEvery"`
}

// TransferCount is the number of chunk bytes that the origin has sent and of
// chunk requests that it has accepted. A request beyond MaxTransfers isn't
// counted.
type TransferCount struct {
	Bytes    int64 `json:"bytes"`
	Requests int64 `json:"requests"`
}

// Origin serves the chunks of a catalog. All transfers together send at most
// LinkRate bytes a second, and a request beyond MaxTransfers concurrent ones
// gets status 429. Set the exported fields before calling Handler.
type Origin struct {
	Catalog      *Catalog
	LinkRate     int64
	MaxTransfers int64
	Clock        clockwork.Clock

	initOnce  sync.Once
	limiter   *rate.Limiter
	transfers atomic.Int64
	requests  atomic.Uint64
	sentBytes atomic.Int64
	faults    serve.Observable[OriginFaults]
}

// Handler returns the handler of the chunks and of the control calls that add a
// version, read the number of bytes sent and set the faults.
func (o *Origin) Handler() http.Handler {
	o.initOnce.Do(func() { o.limiter = rate.NewLimiter(rate.Limit(o.LinkRate), 4*writeSize) })
	r := mux.NewRouter()
	r.HandleFunc("/v1/chunks/{digest}", o.handleChunk).Methods(http.MethodGet)
	r.HandleFunc("/control/versions", addVersion(o.Catalog)).Methods(http.MethodPut)
	r.HandleFunc("/control/bytes", o.handleBytes).Methods(http.MethodGet)
	r.HandleFunc("/control/faults", o.setFaults).Methods(http.MethodPost)
	return r
}

func (o *Origin) handleChunk(w http.ResponseWriter, r *http.Request) {
	if o.transfers.Add(1) > o.MaxTransfers {
		o.transfers.Add(-1)
		serve.WriteTooManyRequests(w, retryAfter)
		return
	}
	defer o.transfers.Add(-1)
	n := o.requests.Add(1)
	f, changed := o.faults.Get()
	if isNth(n, f.StatusEvery) && f.Status != 0 {
		serve.WriteProblem(w, f.Status, "fault")
		return
	}
	b, ok := o.Catalog.Chunk(chunk.Digest(mux.Vars(r)["digest"]))
	if !ok {
		serve.WriteProblem(w, http.StatusNotFound, "no such chunk")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	o.transfer(r.Context(), w, b, n, f, changed)
}

// transfer sends the chunk b with the faults f that apply to request n. changed
// is closed when the faults are replaced.
func (o *Origin) transfer(ctx context.Context, w http.ResponseWriter, b []byte, n uint64, f OriginFaults, changed <-chan struct{}) {
	half := len(b) / 2
	if isNth(n, f.CorruptEvery) {
		b[half] ^= 1
	}
	if o.send(ctx, w, b[:half]) != nil {
		return
	}
	if isNth(n, f.ShortEvery) {
		serve.AbortConnection(w)
	}
	if isNth(n, f.StallEvery) {
		_ = http.NewResponseController(w).Flush()
		waitForChange(ctx, changed)
	}
	_ = o.send(ctx, w, b[half:])
}

// send writes b at the link's rate.
func (o *Origin) send(ctx context.Context, w http.ResponseWriter, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), writeSize)
		now := o.Clock.Now()
		wait := o.limiter.ReserveN(now, n).DelayFrom(now)
		if err := serve.Sleep(ctx, o.Clock, wait); err != nil {
			return err
		}
		if _, err := w.Write(b[:n]); err != nil {
			return err
		}
		o.sentBytes.Add(int64(n))
		b = b[n:]
	}
	return nil
}

func (o *Origin) handleBytes(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, TransferCount{Bytes: o.sentBytes.Load(), Requests: int64(o.requests.Load())})
}

func (o *Origin) setFaults(w http.ResponseWriter, r *http.Request) {
	f, err := serve.DecodeJSON[OriginFaults](w, r)
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	o.faults.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// isNth reports whether n is a multiple of each. It is false when each is 0.
func isNth(n, each uint64) bool { return each > 0 && n%each == 0 }

func waitForChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}
