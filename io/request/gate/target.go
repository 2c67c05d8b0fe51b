package gate

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/sessn"
)

// The target's state is read every stateInterval. An engine whose state could not be
// read for maxStateAge gets no new calls. maxStateBytes limits the size of a response.
const (
	stateInterval = 250 * time.Millisecond
	stateTimeout  = time.Second
	maxStateAge   = 2 * time.Second
	maxStateBytes = 64 << 10
)

// targetState is the state of the target as last read.
type targetState struct {
	ready   bool
	leaving bool
	serving chunk.Digest
	load    sessn.Load
	readAt  time.Time
}

// engineState is the part of the response to GET /v1/state that the gate reads.
type engineState struct {
	Boot     string       `json:"boot"`
	Manifest chunk.Digest `json:"manifest"`
	Running  int          `json:"running"`
	Queued   int          `json:"queued"`
	Capacity int          `json:"capacity"`
}

// updateTarget reads the target's state. It informs the entries at once if something
// has changed that affects their choice of targets.
func (g *Proxy) updateTarget(ctx context.Context) {
	next := g.readTargetState(ctx)
	members := calls.OwnerMembers(g.Source.Current(), g.Service, g.Self.VM.Zone)
	g.mu.Lock()
	defer g.mu.Unlock()
	if members != g.members {
		g.members = members
		g.ledger.RestartKeyWindow(g.now())
	}
	g.expireLocked()
	g.updateMetricsLocked()
	old := g.target
	g.target = next
	if old.ready != next.ready || old.leaving != next.leaving || old.serving != next.serving {
		g.announceLocked()
	}
}

func (g *Proxy) readTargetState(ctx context.Context) targetState {
	leaving := g.vmLeaving()
	switch g.serviceKind() {
	case envdoc.KindPlain:
		return targetState{ready: true, leaving: leaving}
	case envdoc.KindEngine:
		s := g.readEngineState(ctx)
		s.leaving = leaving
		return s
	}
	return targetState{leaving: leaving}
}

func (g *Proxy) readEngineState(ctx context.Context) targetState {
	st, err := getJSON[engineState](ctx, g, "/v1/state")
	if err != nil {
		return g.stateAfterFailure()
	}
	g.readCacheEvents(ctx, st.Boot)
	return targetState{
		ready:   st.Manifest != "",
		serving: st.Manifest,
		load:    sessn.Load{Known: true, Running: st.Running, Queued: st.Queued, Capacity: st.Capacity},
		readAt:  g.Clock.Now(),
	}
}

// stateAfterFailure returns the state to assume when the engine's state could not be
// read. It keeps the last one for maxStateAge, as one late response of a busy engine is
// no reason to stop sending it calls.
func (g *Proxy) stateAfterFailure() targetState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.target
	if g.Clock.Since(s.readAt) > maxStateAge {
		s.ready = false
		s.serving = ""
	}
	return s
}

// getJSON sends a GET request to the target and decodes the JSON response.
func getJSON[T any](ctx context.Context, g *Proxy, path string) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	url := "http://" + g.Target.String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return out, operr.Wrap("ask "+path, g.Target.String(), err)
	}
	res, err := g.pooledTransport.RoundTrip(req)
	if err != nil {
		return out, operr.Wrap("ask "+path, g.Target.String(), err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return out, operr.Errorf("ask "+path, g.Target.String(), "status %d", res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxStateBytes)).Decode(&out)
	return out, operr.Wrap("read "+path, g.Target.String(), err)
}
