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
func (p *Proxy) updateTarget(ctx context.Context) {
	next := p.readTargetState(ctx)
	members := calls.OwnerMembers(p.Source.Current(), p.Service, p.Self.VM.Zone)
	p.mu.Lock()
	defer p.mu.Unlock()
	if members != p.members {
		p.members = members
		p.ledger.RestartKeyWindow(p.now())
	}
	p.expireLocked()
	p.updateMetricsLocked()
	old := p.target
	p.target = next
	if old.ready != next.ready || old.leaving != next.leaving || old.serving != next.serving {
		p.announceLocked()
	}
}

func (p *Proxy) readTargetState(ctx context.Context) targetState {
	leaving := p.vmLeaving()
	switch p.serviceKind() {
	case envdoc.KindPlain:
		return targetState{ready: true, leaving: leaving}
	case envdoc.KindEngine:
		s := p.readEngineState(ctx)
		s.leaving = leaving
		return s
	}
	return targetState{leaving: leaving}
}

func (p *Proxy) readEngineState(ctx context.Context) targetState {
	st, err := getJSON[engineState](ctx, p, "/v1/state")
	if err != nil {
		return p.stateAfterFailure()
	}
	p.readCacheEvents(ctx, st.Boot)
	return targetState{
		ready:   st.Manifest != "",
		serving: st.Manifest,
		load:    sessn.Load{Known: true, Running: st.Running, Queued: st.Queued, Capacity: st.Capacity},
		readAt:  p.Clock.Now(),
	}
}

// stateAfterFailure returns the state to assume when the engine's state could not be
// read. It keeps the last one for maxStateAge, as one late response of a busy engine is
// no reason to stop sending it calls.
func (p *Proxy) stateAfterFailure() targetState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.target
	if p.Clock.Since(s.readAt) > maxStateAge {
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
