package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/version/pace"
	"hawthornferry/io/version/stage"
	"hawthornferry/io/version/swarm"
)

// region holds the two directions of the link between a region and all others.
type region struct {
	out *linkDirection
	in  *linkDirection
}

// side is one side with the two directions of its machine's link.
type side struct {
	vm     fleet.VM
	region int
	up     *linkDirection
	down   *linkDirection
	pacer  *pace.Pacer
	node   *swarm.Node
	stop   func()
	killed atomic.Bool
}

func (s *side) wasKilled() bool { return s.killed.Load() }

// testbed is a fleet of sides, the simulated links between them, and the weight
// store and the origin that serve them.
type testbed struct {
	trial   trial
	rates   rates
	regions []*region
	sides   []*side
	byName  map[string]*side
	origin  *linkDirection

	manifest        chunk.Manifest
	manifestDigest  chunk.Digest
	encodedManifest []byte
	chunks          map[chunk.Digest][]byte
	faults          faults
}

func newTestbed(ctx context.Context, t trial, r rates, seed uint64) (*testbed, error) {
	w := &testbed{trial: t, rates: r, origin: newLinkDirection(r.origin), byName: map[string]*side{}}
	w.faults.enabled = t.faults
	for range regionNames {
		w.regions = append(w.regions, &region{out: newLinkDirection(r.region), in: newLinkDirection(r.region)})
	}
	if err := w.makeVersion(seed); err != nil {
		return nil, err
	}
	for i := range t.sides {
		if err := w.addSide(ctx, i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// makeVersion creates a version of random bytes and its manifest.
func (w *testbed) makeVersion(seed uint64) error {
	w.chunks = map[chunk.Digest][]byte{}
	src := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16)})
	m := chunk.Manifest{Model: "model", Version: "1", ContentDigest: chunk.DigestOf(nil), Size: w.trial.bytes()}
	for range w.trial.chunks {
		b := make([]byte, w.trial.chunkSize)
		_, _ = src.Read(b)
		d := chunk.DigestOf(b)
		w.chunks[d] = b
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: d, Size: int64(w.trial.chunkSize)})
	}
	b, err := m.Encode()
	w.manifest, w.encodedManifest, w.manifestDigest = m, b, chunk.DigestOf(b)
	return err
}

func (w *testbed) addSide(ctx context.Context, i int) error {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k := i % len(regionNames)
	s := &side{region: k, up: newLinkDirection(w.rates.machine), down: newLinkDirection(w.rates.machine)}
	s.vm = fleet.VM{
		Name:    fmt.Sprintf("side%03d", i),
		Role:    fleet.RoleSide,
		Zone:    regionNames[k] + "-a",
		Region:  regionNames[k],
		Service: "service",
		Address: netip.MustParseAddrPort(nl.Addr().String()),
		State:   fleet.StateLive,
	}
	ctx, cancel := context.WithCancel(ctx)
	platform, err := w.startOrigin(ctx, s)
	if err != nil {
		cancel()
		return err
	}
	s.node = w.newNode(s, platform, uint64(i))
	l := &link.Listener{
		Self:     s.node.Self,
		Net:      nl,
		Handlers: map[link.Purpose]link.Handler{link.PurposeWeights: s.node.Handler()},
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = l.Run(ctx) })
	wg.Go(func() { _ = s.node.Run(ctx) })
	s.stop = func() { cancel(); wg.Wait() }
	w.sides = append(w.sides, s)
	w.byName[s.vm.Name] = s
	return nil
}

func (w *testbed) newNode(s *side, platform netip.AddrPort, seed uint64) *swarm.Node {
	clock := clockwork.NewRealClock()
	s.pacer = pace.New(pace.Config{
		Up:     int64(w.rates.machine),
		Down:   int64(w.rates.machine),
		Region: int64(w.rates.region),
		Origin: int64(w.rates.origin),
	}, clock)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	if verbose {
		quiet.SetOutput(logWriter)
	}
	cfg := spreadConfig
	cfg.OriginOnly, cfg.Seed = w.trial.mode.originOnly, seed
	if cfg.OriginOnly {
		// All sides wait for the origin's link at the same time. That is not a
		// stalled transfer, so it must not run into a timeout.
		cfg.MinTimeout = minTimeLimit
	}
	return &swarm.Node{
		Self:         &link.Self{VM: s.vm, Boot: s.vm.Name},
		Clock:        clock,
		Log:          newDecisionLog(quiet.WithField("side", s.vm.Name)),
		Logger:       quiet.WithField("side", s.vm.Name),
		Staging:      w.faults.wrapStaging(&stage.Memory{}, seed),
		Origin:       platform,
		Store:        platform,
		OriginRegion: regionNames[0],
		Pacer:        s.pacer,
		Spread:       cfg,
		BlockSize:    blockSize,
		CacheBytes:   w.faults.cacheBytes(),
		Shaper:       w,
	}
}

// decisionLogger writes decisions to the log of the side.
type decisionLogger struct{ to logrus.FieldLogger }

// Record writes one decision.
func (l decisionLogger) Record(d trail.Decision) {
	l.to.WithFields(logrus.Fields{
		"action":  d.Action,
		"subject": d.Subject,
		"choice":  d.Choice,
		"outcome": d.Outcome,
	}).Info(d.Reason)
}

// newDecisionLog returns a decision log that writes to the given log with --verbose,
// and otherwise discards.
func newDecisionLog(to logrus.FieldLogger) trail.Log {
	if verbose {
		return decisionLogger{to: to}
	}
	return trail.Discard{}
}

// Shape delays a block of n bytes as the simulated links between two sides would. It
// implements swarm.Shaper.
func (w *testbed) Shape(ctx context.Context, from, to fleet.VM, n int) error {
	a, b := w.byName[from.Name], w.byName[to.Name]
	if err := w.faults.blockIfStalled(ctx, from.Name, to.Name); err != nil {
		return err
	}
	path := []*linkDirection{a.up}
	if a.region != b.region {
		path = append(path, w.regions[a.region].out, w.regions[b.region].in)
	}
	return sendBulk(ctx, n, append(path, b.down)...)
}

// startOrigin starts a server that is the store and the origin for one side, so that
// its downloads can be passed over that side's simulated links.
func (w *testbed) startOrigin(ctx context.Context, s *side) (netip.AddrPort, error) {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serveOrigin(rw, r, s) })}
	go func() { _ = srv.Serve(nl) }()
	context.AfterFunc(ctx, func() { srv.Close() })
	return netip.MustParseAddrPort(nl.Addr().String()), nil
}

// serveOrigin answers a request for a chunk, and any other request with the
// manifest.
func (w *testbed) serveOrigin(rw http.ResponseWriter, r *http.Request, s *side) {
	d, ok := strings.CutPrefix(r.URL.Path, "/v1/chunks/")
	if !ok {
		_, _ = rw.Write(w.encodedManifest)
		return
	}
	b := w.faults.originResponse(w.chunks[chunk.Digest(d)])
	path := []*linkDirection{w.origin}
	if s.region != 0 {
		path = append(path, w.regions[0].out, w.regions[s.region].in)
	}
	path = append(path, s.down)
	for off := 0; off < len(b); off += blockSize {
		end := min(off+blockSize, len(b))
		if sendBulk(r.Context(), end-off, path...) != nil {
			return
		}
		if _, err := rw.Write(b[off:end]); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
}

// view returns the view of the fleet and the configuration that every side is given.
func (w *testbed) view() view.View {
	v := view.View{Document: &envdoc.Document{
		Revision: 1,
		Goal:     w.trial.mode.goal,
		Models:   []envdoc.Model{{Name: "model", Version: "1", Manifest: w.manifestDigest}},
		Services: []envdoc.Service{{Name: "service", Kind: envdoc.KindEngine, Model: "model"}},
	}}
	for _, s := range w.sides {
		v.VMs = append(v.VMs, s.vm)
	}
	for _, r := range regionNames {
		svc := &v.Document.Services[0]
		svc.Replicas = append(svc.Replicas, envdoc.Placement{Zone: r + "-a", Replicas: len(w.sides)})
	}
	return v
}

// close stops every side.
func (w *testbed) close() {
	var wg sync.WaitGroup
	for _, s := range w.sides {
		wg.Go(s.stop)
	}
	wg.Wait()
}
