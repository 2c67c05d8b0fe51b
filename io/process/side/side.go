// Package side runs a side: the process next to one target, which forwards every call to the
// target and, if that is an engine, fetches the weights of its model and orders it to load
// them. The side command in package cmds calls it.
package side

import (
	"context"
	"net/http"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/view"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/awake"
	"hawthornferry/io/process/host"
	"hawthornferry/io/request/gate"
	"hawthornferry/io/version/order"
	"hawthornferry/io/version/pace"
	"hawthornferry/io/version/stage"
	"hawthornferry/io/version/swarm"
)

// Side is one side process. Host must be opened before Run; nothing else is set.
type Side struct {
	Host *host.Host

	gate    *gate.Gate
	node    *swarm.Node
	orderer *order.Orderer
	pacer   *pace.Pacer
}

// Run runs the side until ctx ends and it has drained.
func (s *Side) Run(ctx context.Context) error {
	h := s.Host
	h.Handlers = map[link.Purpose]link.Handler{}
	s.buildGate()
	if h.Settings.Target.Kind == envdoc.KindEngine {
		s.buildDistribution()
		s.buildOrderer()
	}
	h.AddStatus = s.addStatus
	h.Drain = s.gate.Drain
	return h.Run(ctx)
}

func (s *Side) buildGate() {
	h := s.Host
	limits := calls.DefaultLimits()
	limits.MaxRecords = h.Settings.Limits.MaxRecords
	limits.RecordMaxAge = h.Settings.Limits.RecordAge
	s.gate = &gate.Gate{
		Self:        h.Self,
		Clock:       h.Clock,
		Log:         h.Log,
		Metrics:     h.Metrics,
		Gauge:       h.Gauge,
		Source:      h.Watcher,
		Target:      h.Settings.Target.Address,
		Service:     h.Settings.Target.Service,
		Limits:      limits,
		MaxInFlight: h.Settings.Limits.MaxInFlight,
	}
	h.Handlers[link.PurposeCalls] = s.gate.Handler()
	h.Components = append(h.Components, host.Component{Name: "gate", Run: s.gate.Run})
}

// The cache of chunks may use the memory limit divided by cacheDivisor.
const cacheDivisor = 4

func (s *Side) buildDistribution() {
	h := s.Host
	links := h.Settings.Links
	s.pacer = pace.New(pace.Config{Up: links.Up, Down: links.Down, Region: links.Region}, h.Clock)
	s.node = &swarm.Node{
		Self:    h.Self,
		Clock:   h.Clock,
		Log:     h.Log,
		Logger:  h.Logger,
		Metrics: h.Metrics,
		Staging: &stage.Client{Engine: h.Settings.Target.Address},
		Origin:  h.Settings.Platform.Origin,
		Store:   h.Settings.Platform.Store,
		Burst:   spread.Config{UploadSlots: h.Settings.Limits.UploadSlots},
		Pacer:   s.pacer,
		// The engine's staging area holds every chunk; the cache only saves reading
		// chunks again that several peers request at about the same time. If it took
		// most of the memory limit, the garbage collector would run all the time.
		CacheBytes: h.Settings.Limits.Memory / cacheDivisor,
	}
	h.Handlers[link.PurposeWeights] = s.node.Handler()
	h.Components = append(h.Components,
		host.Component{Name: "weights", Run: s.node.Run},
		host.Component{Name: "wanted versions", Run: s.watchView},
		host.Component{Name: "live traffic", Run: s.meterCalls},
	)
}

func (s *Side) buildOrderer() {
	h := s.Host
	s.orderer = &order.Orderer{
		Self:     h.Self,
		Clock:    h.Clock,
		Awake:    awake.Now,
		Log:      h.Log,
		Source:   h.Watcher,
		Engine:   &order.Engine{Address: h.Settings.Target.Address, Client: &http.Client{}},
		Verified: s.verified,
		Draining: h.Draining,
	}
	h.Handlers[link.PurposeOrders] = s.orderer.Handler()
	h.Components = append(h.Components, host.Component{Name: "load orders", Run: s.orderer.Run})
}

// listTimeout is how long a side that has just started waits for a VM list before it
// assumes that it is the only side. Otherwise, when a whole fleet starts, every side would
// rank first for every chunk and download a copy of its own from the origin.
const listTimeout = 10 * time.Second

// watchView passes each new view to the distribution of weights.
func (s *Side) watchView(ctx context.Context) error {
	timeout := s.Host.Clock.After(listTimeout)
	timedOut := false
	for {
		changed := s.Host.Watcher.Changed()
		v := s.Host.Watcher.Current()
		if timedOut || len(v.VMs) > 0 {
			s.update(v)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-timeout:
			timedOut = true
		}
	}
}

func (s *Side) update(v view.View) {
	want, ok := roll.WantOf(v, s.Host.Self.VM)
	if !ok {
		return
	}
	var wanted []swarm.Wanted
	if want.Placed && want.Manifest != "" {
		wanted = append(wanted, swarm.Wanted{Model: want.Model, Version: want.Version, Manifest: want.Manifest})
	}
	s.node.Update(v, wanted)
}

// verified returns the manifest of a version whose weights are completely staged and
// verified.
func (s *Side) verified(d chunk.Digest) (chunk.Manifest, bool) {
	for _, p := range s.node.Progress() {
		if p.Wanted.Manifest == d && p.Verified {
			return p.Manifest, true
		}
	}
	return chunk.Manifest{}, false
}
