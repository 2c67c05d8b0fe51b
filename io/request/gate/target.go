package gate

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fault"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/sessn"
)

// Rates of the watch on the target. An engine that has not told its state
// for silentTarget gets no new calls.
const (
	watchEvery   = 250 * time.Millisecond
	stateTimeout = time.Second
	silentTarget = 2 * time.Second
	maxState     = 64 << 10
)

// targetState is how the target stands.
type targetState struct {
	ready   bool
	leaving bool
	serving chunk.Digest
	load    sessn.Load
	heard   time.Time
}

// engineState is the part of GET /v1/state that the gate reads.
type engineState struct {
	Boot     string       `json:"boot"`
	Manifest chunk.Digest `json:"manifest"`
	Running  int          `json:"running"`
	Queued   int          `json:"queued"`
	Capacity int          `json:"capacity"`
}

// watch brings the target's state up to date and tells the entries at once
// when their choice depends on what has changed.
func (g *Gate) watch(ctx context.Context) {
	next := g.observe(ctx)
	members := calls.Members(g.Source.Current(), g.Service, g.Self.VM.Zone)
	g.mu.Lock()
	defer g.mu.Unlock()
	if members != g.members {
		g.members = members
		g.ledger.Renew(g.now())
	}
	g.forgetLocked()
	g.measureLocked()
	old := g.target
	g.target = next
	if old.ready != next.ready || old.leaving != next.leaving || old.serving != next.serving {
		g.announceLocked()
	}
}

func (g *Gate) observe(ctx context.Context) targetState {
	leaving := g.selfLeaving()
	switch g.kind() {
	case envdoc.KindPlain:
		return targetState{ready: true, leaving: leaving}
	case envdoc.KindEngine:
		s := g.observeEngine(ctx)
		s.leaving = leaving
		return s
	}
	return targetState{leaving: leaving}
}

func (g *Gate) observeEngine(ctx context.Context) targetState {
	st, err := ask[engineState](ctx, g, "/v1/state")
	if err != nil {
		return g.unheard()
	}
	g.followCache(ctx, st.Boot)
	return targetState{
		ready:   st.Manifest != "",
		serving: st.Manifest,
		load:    sessn.Load{Known: true, Running: st.Running, Queued: st.Queued, Capacity: st.Capacity},
		heard:   g.Clock.Now(),
	}
}

// unheard keeps the last state for a while: one late answer of a busy engine
// is no reason to take its work away.
func (g *Gate) unheard() targetState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.target
	if g.Clock.Since(s.heard) > silentTarget {
		s.ready = false
		s.serving = ""
	}
	return s
}

// ask reads a JSON answer of the target.
func ask[T any](ctx context.Context, g *Gate, path string) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	url := "http://" + g.Target.String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return out, fault.At("ask "+path, g.Target.String(), err)
	}
	res, err := g.plain.RoundTrip(req)
	if err != nil {
		return out, fault.At("ask "+path, g.Target.String(), err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return out, fault.Newf("ask "+path, g.Target.String(), "status %d", res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxState)).Decode(&out)
	return out, fault.At("read "+path, g.Target.String(), err)
}
