// Package engine stands in for a model engine: it stages chunks, takes orders
// to load a version, and streams chat completions whose tokens are a function
// of version, prompt and position.
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

// Engine is one model engine. Set the exported fields before it serves.
type Engine struct {
	Boot    string
	Fencing envdoc.Fencing
	// ChunkPool holds the staged bytes; engines of one process may share it.
	Pool *ChunkPool
	// LoadTime is how long a load takes, SwitchTime the moment at its end in
	// which the engine answers 503.
	LoadTime   time.Duration
	SwitchTime time.Duration
	// TokenDelay is the time for each token, PrefillDelay for each block of
	// the prompt that is not cached.
	TokenDelay   time.Duration
	PrefillDelay time.Duration
	// Capacity is how many generations run at once, MaxQueue how many wait.
	Capacity int
	MaxQueue int
	// ReportLag is how old the load in the state may be.
	ReportLag time.Duration
	// CacheBlocks bounds the prefix cache, EventLag delays its events and
	// every EventGap-th one is lost; 0 loses none.
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
	switching  int // loads that are in their switch
	lastOrder  uint64
	lastError  string
	newestLoad int // number of the newest load, so that an older one gives up
	refused    int
	loads      []Load
}

// State is the engine's account of itself. LastError says why the newest load
// failed, empty when none did.
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

// Handler returns the HTTP interface.
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

// work holds a request back while the engine is paused or silent.
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
	serve.JSON(w, http.StatusOK, State{
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

// report is a load reading that is renewed only when it is older than a lag.
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
