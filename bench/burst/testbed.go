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

// region is the pair of wires that joins a region to the others.
type region struct {
	out *wire
	in  *wire
}

// side is one side with its machine's wires.
type side struct {
	vm     fleet.VM
	region int
	up     *wire
	down   *wire
	pacer  *pace.Pacer
	node   *swarm.Node
	stop   func()
	killed atomic.Bool
}

func (s *side) dead() bool { return s.killed.Load() }

// world is a fleet of sides, the wires between them, a store and an origin.
type world struct {
	trial   trial
	rates   rates
	regions []*region
	sides   []*side
	byName  map[string]*side
	origin  *wire

	manifest chunk.Manifest
	pinned   chunk.Digest
	encoded  []byte
	chunks   map[chunk.Digest][]byte
	faults   faults
}

func newWorld(ctx context.Context, t trial, r rates, seed uint64) (*world, error) {
	w := &world{trial: t, rates: r, origin: newWire(r.origin), byName: map[string]*side{}}
	w.faults.on = t.faults
	for range regionNames {
		w.regions = append(w.regions, &region{out: newWire(r.region), in: newWire(r.region)})
	}
	if err := w.publish(seed); err != nil {
		return nil, err
	}
	for i := range t.sides {
		if err := w.addSide(ctx, i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// publish makes a version of random bytes.
func (w *world) publish(seed uint64) error {
	w.chunks = map[chunk.Digest][]byte{}
	src := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16)})
	m := chunk.Manifest{Model: "model", Version: "1", ContentDigest: chunk.DigestOf(nil), Size: w.trial.bytes()}
	for range w.trial.chunks {
		b := make([]byte, w.trial.size)
		_, _ = src.Read(b)
		d := chunk.DigestOf(b)
		w.chunks[d] = b
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: d, Size: int64(w.trial.size)})
	}
	b, err := m.Encode()
	w.manifest, w.encoded, w.pinned = m, b, chunk.DigestOf(b)
	return err
}

func (w *world) addSide(ctx context.Context, i int) error {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k := i % len(regionNames)
	s := &side{region: k, up: newWire(w.rates.machine), down: newWire(w.rates.machine)}
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
	platform, err := w.serveTo(ctx, s)
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

func (w *world) newNode(s *side, platform netip.AddrPort, seed uint64) *swarm.Node {
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
	cfg := tuning
	cfg.OriginOnly, cfg.Seed = w.trial.mode.direct, seed
	if cfg.OriginOnly {
		// All wait for the origin's link at once; that is no stall.
		cfg.MinTimeout = giveUpLeast
	}
	return &swarm.Node{
		Self:         &link.Self{VM: s.vm, Boot: s.vm.Name},
		Clock:        clock,
		Log:          decisions(quiet.WithField("side", s.vm.Name)),
		Logger:       quiet.WithField("side", s.vm.Name),
		Staging:      w.faults.staging(&stage.Memory{}, seed),
		Origin:       platform,
		Store:        platform,
		OriginRegion: regionNames[0],
		Pacer:        s.pacer,
		Burst:        cfg,
		BlockSize:    blockSize,
		CacheBytes:   w.faults.cacheBytes(),
		Shaper:       w,
	}
}

// logged writes decisions with the rest of the log.
type logged struct{ to logrus.FieldLogger }

// Record writes one decision.
func (l logged) Record(d trail.Decision) {
	l.to.WithFields(logrus.Fields{
		"action":  d.Action,
		"subject": d.Subject,
		"choice":  d.Choice,
		"outcome": d.Outcome,
	}).Info(d.Reason)
}

func decisions(to logrus.FieldLogger) trail.Log {
	if verbose {
		return logged{to: to}
	}
	return trail.Discard{}
}

// Shape passes a block over the wires between two sides.
func (w *world) Shape(ctx context.Context, from, to fleet.VM, n int) error {
	a, b := w.byName[from.Name], w.byName[to.Name]
	if err := w.faults.link(ctx, from.Name, to.Name); err != nil {
		return err
	}
	wires := []*wire{a.up}
	if a.region != b.region {
		wires = append(wires, w.regions[a.region].out, w.regions[b.region].in)
	}
	return passBulk(ctx, n, append(wires, b.down)...)
}

// serveTo runs a store and an origin for one side, so that the bytes pass
// that side's wires.
func (w *world) serveTo(ctx context.Context, s *side) (netip.AddrPort, error) {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.answer(rw, r, s) })}
	go func() { _ = srv.Serve(nl) }()
	context.AfterFunc(ctx, func() { srv.Close() })
	return netip.MustParseAddrPort(nl.Addr().String()), nil
}

func (w *world) answer(rw http.ResponseWriter, r *http.Request, s *side) {
	d, ok := strings.CutPrefix(r.URL.Path, "/v1/chunks/")
	if !ok {
		_, _ = rw.Write(w.encoded)
		return
	}
	b := w.faults.drawn(w.chunks[chunk.Digest(d)])
	wires := []*wire{w.origin}
	if s.region != 0 {
		wires = append(wires, w.regions[0].out, w.regions[s.region].in)
	}
	wires = append(wires, s.down)
	for off := 0; off < len(b); off += blockSize {
		end := min(off+blockSize, len(b))
		if passBulk(r.Context(), end-off, wires...) != nil {
			return
		}
		if _, err := rw.Write(b[off:end]); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
}

// view is the belief that every side is given.
func (w *world) view() view.View {
	v := view.View{Document: &envdoc.Document{
		Revision: 1,
		Goal:     w.trial.mode.weigh,
		Models:   []envdoc.Model{{Name: "model", Version: "1", Manifest: w.pinned}},
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
func (w *world) close() {
	var wg sync.WaitGroup
	for _, s := range w.sides {
		wg.Go(s.stop)
	}
	wg.Wait()
}
