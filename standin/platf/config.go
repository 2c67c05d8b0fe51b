// Package platf is a stand-in for two services of the platform: the
// configuration service, which serves the environment documents, and the VM
// list. The platform command of standin runs both.
package platf

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"hawthornferry/standin/serve"
)

// Limits of the configuration service: the bytes of a document, the longest
// wait of a watch, the number of environments, and the revisions that are kept
// of each.
const (
	MaxDocument     = 1 << 20
	MaxWait         = 60 * time.Second
	maxEnvironments = 64
	maxRevisions    = 256
)

// ConfigFaults are the faults that the configuration service injects. Down makes
// every read fail with status 503, also the watches under way. Serve makes it
// serve the newest revision that is at most Serve, as a stale replica would; 0
// serves the newest one. Delay is added to every read.
type ConfigFaults struct {
	Down  bool           `json:"down"`
	Serve uint64         `json:"serve"`
	Delay serve.Duration `json:"delay"`
}

// ConfigService is the configuration service. Rate is the number of reads a second that
// it answers over all readers. Set the exported fields before calling Handler.
type ConfigService struct {
	Rate  float64
	Clock clockwork.Clock

	initOnce sync.Once
	limiter  *rate.Limiter
	calls    atomic.Uint64
	faults   serve.Observable[ConfigFaults]

	mu       sync.Mutex
	revision uint64
	changed  chan struct{}
	history  map[string][]document
}

type document struct {
	revision uint64
	text     []byte
}

// Promotion is the response to a promotion: the revision of the new document.
type Promotion struct {
	Revision uint64 `json:"revision"`
}

// CallCount is the number of reads since the start, refused ones included.
type CallCount struct {
	Calls uint64 `json:"calls"`
}

// Handler returns the handler of the reads and of the control calls that promote
// a document, read the number of calls and set the faults.
func (c *ConfigService) Handler() http.Handler {
	c.initOnce.Do(c.init)
	r := mux.NewRouter()
	r.HandleFunc("/v1/documents/{environment}", c.handleRead).Methods(http.MethodGet)
	r.HandleFunc("/control/documents/{environment}", c.handlePromote).Methods(http.MethodPut)
	r.HandleFunc("/control/calls", c.handleCalls).Methods(http.MethodGet)
	r.HandleFunc("/control/faults", c.setFaults).Methods(http.MethodPost)
	return r
}

func (c *ConfigService) init() {
	c.limiter = rate.NewLimiter(rate.Limit(c.Rate), max(1, int(c.Rate)))
	c.changed = make(chan struct{})
	c.history = map[string][]document{}
}

func (c *ConfigService) handleRead(w http.ResponseWriter, r *http.Request) {
	c.calls.Add(1)
	after, wait, err := parseWatchQuery(r)
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	faults, _ := c.faults.Get()
	if serve.Sleep(r.Context(), c.Clock, time.Duration(faults.Delay)) != nil {
		return
	}
	if faults.Down {
		serve.WriteProblem(w, http.StatusServiceUnavailable, "down")
		return
	}
	if !c.limiter.AllowN(c.Clock.Now(), 1) {
		serve.WriteTooManyRequests(w, time.Second)
		return
	}
	c.respond(w, r, after, wait)
}

// respond waits until there is a document with a revision above after and
// writes it, or writes status 304 when wait has passed.
func (c *ConfigService) respond(w http.ResponseWriter, r *http.Request, after uint64, wait time.Duration) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	timer := c.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		faults, faultsChanged := c.faults.Get()
		if faults.Down {
			serve.WriteProblem(w, http.StatusServiceUnavailable, "down")
			return
		}
		d, known, changed := c.newest(mux.Vars(r)["environment"], faults.Serve)
		if !known {
			serve.WriteProblem(w, http.StatusNotFound, "no such environment")
			return
		}
		if d.revision > after {
			writeDocument(w, d)
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timer.Chan():
			w.WriteHeader(http.StatusNotModified)
			return
		case <-ctx.Done():
			return
		}
	}
}

// newest returns the newest document of an environment with a revision of at
// most pin, or of any revision when pin is 0, whether there is one, and a
// channel that is closed at the next promotion.
func (c *ConfigService) newest(environment string, pin uint64) (document, bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out document
	for _, d := range c.history[environment] {
		if pin == 0 || d.revision <= pin {
			out = d
		}
	}
	return out, out.revision > 0, c.changed
}

func (c *ConfigService) handlePromote(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxDocument))
	if err != nil {
		serve.WriteProblem(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	revision, ok := c.store(mux.Vars(r)["environment"], text)
	if !ok {
		serve.WriteProblem(w, http.StatusInsufficientStorage, "too many environments")
		return
	}
	serve.WriteJSON(w, http.StatusOK, Promotion{Revision: revision})
}

// store adds a document to the environment's history and returns its revision,
// and false when there are too many environments.
func (c *ConfigService) store(environment string, text []byte) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	history, known := c.history[environment]
	if !known && len(c.history) >= maxEnvironments {
		return 0, false
	}
	c.revision++
	history = append(history, document{revision: c.revision, text: text})
	c.history[environment] = history[max(0, len(history)-maxRevisions):]
	close(c.changed)
	c.changed = make(chan struct{})
	return c.revision, true
}

func (c *ConfigService) handleCalls(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, CallCount{Calls: c.calls.Load()})
}

func (c *ConfigService) setFaults(w http.ResponseWriter, r *http.Request) {
	f, err := serve.DecodeJSON[ConfigFaults](w, r)
	if err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	c.faults.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeDocument(w http.ResponseWriter, d document) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("X-Revision", strconv.FormatUint(d.revision, 10))
	_, _ = w.Write(d.text)
}

// parseWatchQuery returns the query parameters after and wait, the latter at
// most MaxWait. Without after the call is answered at once.
func parseWatchQuery(r *http.Request) (uint64, time.Duration, error) {
	q := r.URL.Query()
	if !q.Has("after") {
		return 0, 0, nil
	}
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil || !q.Has("wait") {
		return after, 0, err
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	return after, min(max(wait, 0), MaxWait), err
}
