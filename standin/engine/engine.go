// Package engine is a stand-in for a model engine: it stages chunks, accepts
// orders to load a version, and answers chat completions whose tokens depend
// only on the version, the prompt and the position, as package expect computes
// them. The engine command of standin runs it; package caller uses its request
// and response types.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/serve"
)

// Engine is one model engine. Set the exported fields before calling Handler.
type Engine struct {
	// Boot identifies this run of the engine. Fencing says whether an order
	// whose number is not above the last one's is refused.
	Boot    string
	Fencing envdoc.Fencing
	// Pool holds the staged bytes; the engines of one process may share it.
	Pool *ChunkPool
	// LoadTime is how long a load takes, SwitchTime how long the engine answers
	// 503 after that before it serves the new version.
	LoadTime   time.Duration
	SwitchTime time.Duration
	// TokenDelay is the time that each token takes, PrefillDelay the time for
	// each block of the prompt that is not cached.
	TokenDelay   time.Duration
	PrefillDelay time.Duration
	// Capacity is the number of concurrent generations, MaxQueue the number of
	// those that may wait.
	Capacity int
	MaxQueue int
	// ReportLag is the greatest age of the running and queued counts in State.
	ReportLag time.Duration
	// CacheBlocks is the size of the prefix cache. Its events are delayed by
	// EventLag, and every EventGap-th one is left out; 0 leaves out none.
	CacheBlocks int
	EventLag    time.Duration
	EventGap    uint64
	Clock       clockwork.Clock

	faults  faultState
	slots   generationSlots
	cache   prefixCache
	report  loadReport
	staging stagingArea

	mu         sync.Mutex
	serving    chunk.Manifest
	manifest   chunk.Digest
	loading    chunk.Digest
	switching  int // number of loads within their SwitchTime
	lastOrder  uint64
	lastError  string
	newestLoad int // counts the loads; one with a lower number is superseded
	refused    int
	loads      []Load
}

// State is the response to a state request. LastError says why the newest load
// failed; it is empty when that load didn't fail.
type State struct {
	Boot      string       `json:"boot"`
	Model     string       `json:"model"`
	Version   string       `json:"version"`
	Manifest  chunk.Digest `json:"manifest"`
	LastOrder uint64       `json:"lastOrder"`
	Loading   chunk.Digest `json:"loading"`
	Running   int          `json:"running"`
	Queued    int          `json:"queued"`
	Capacity  int          `json:"capacity"`
	LastError string       `json:"lastError,omitempty"`
}

// Handler returns the handler of the engine's requests and of the control calls
// that set the faults and list the loads.
func (e *Engine) Handler() http.Handler {
	e.slots.capacity = e.Capacity
	e.slots.maxQueue = e.MaxQueue
	e.cache.maxBlocks = e.CacheBlocks
	e.cache.lag = e.EventLag
	e.cache.gap = e.EventGap
	r := mux.NewRouter()
	r.HandleFunc("/v1/state", e.waitWhilePaused(e.state)).Methods(http.MethodGet)
	r.HandleFunc("/v1/staging", e.waitWhilePaused(e.listStaged)).Methods(http.MethodGet)
	r.HandleFunc("/v1/staging/{digest}", e.waitWhilePaused(e.putStaged)).Methods(http.MethodPut)
	r.HandleFunc("/v1/staging/{digest}", e.waitWhilePaused(e.getStaged)).Methods(http.MethodGet)
	r.HandleFunc("/v1/staging/{digest}", e.waitWhilePaused(e.deleteStaged)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/orders", e.waitWhilePaused(e.order)).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", e.waitWhilePaused(e.chat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/events", e.waitWhilePaused(e.events)).Methods(http.MethodGet)
	r.HandleFunc("/control/faults", e.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/control/loads", e.listLoads).Methods(http.MethodGet)
	return r
}

// waitWhilePaused delays a request while the engine is paused or silent.
func (e *Engine) waitWhilePaused(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.faults.waitWhilePaused(r.Context(), e.Clock) != nil {
			return
		}
		next(w, r)
	}
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	running, queued := e.report.read(e.Clock.Now(), e.ReportLag, e.slots.load)
	e.mu.Lock()
	defer e.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, State{
		Boot:      e.Boot,
		Model:     e.serving.Model,
		Version:   e.serving.Version,
		Manifest:  e.manifest,
		LastOrder: e.lastOrder,
		Loading:   e.loading,
		Running:   running,
		Queued:    queued,
		Capacity:  e.Capacity,
		LastError: e.lastError,
	})
}

// loadReport holds the running and queued counts, which are read anew only when
// they are at least as old as a lag.
type loadReport struct {
	mu      sync.Mutex
	at      time.Time
	running int
	queued  int
}

func (p *loadReport) read(now time.Time, lag time.Duration, load func() (int, int)) (int, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() || now.Sub(p.at) >= lag {
		p.at = now
		p.running, p.queued = load()
	}
	return p.running, p.queued
}
