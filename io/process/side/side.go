// Package side runs a side: the process next to one target, which forwards every call to the
// target and, if that is an engine, fetches the weights of its model and orders it to load
// them. The side command in package cmds calls it.
package side

import (
	"context"
	"net"
	"net/http"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/view"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/bound"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/proc"
	"hawthornferry/io/process/uptime"
	"hawthornferry/io/request/gate"
	"hawthornferry/io/version/order"
	"hawthornferry/io/version/pace"
	"hawthornferry/io/version/stage"
	"hawthornferry/io/version/swarm"
)

// Side is one side process. Process must be opened before Run; nothing else is set.
type Side struct {
	Process *proc.Process

	gate       *gate.Proxy
	node       *swarm.Node
	controller *order.Controller
	pacer      *pace.Pacer
}

// Run runs the side until ctx ends and it has drained.
func (s *Side) Run(ctx context.Context) error {
	h := s.Process
	h.Handlers = map[link.Purpose]link.Handler{}
	s.buildGate()
	if h.Settings.Target.Kind == envdoc.KindEngine {
		s.buildDistribution()
		s.buildController()
	}
	h.AddStatus = s.addStatus
	h.Drain = s.gate.Drain
	return h.Run(ctx)
}

func (s *Side) buildGate() {
	h := s.Process
	limits := calls.DefaultLimits()
	limits.MaxRecords = h.Settings.Limits.MaxRecords
	limits.RecordMaxAge = h.Settings.Limits.RecordAge
	s.gate = &gate.Proxy{
		Self:         h.Self,
		Clock:        h.Clock,
		Log:          h.Log,
		Metrics:      h.Metrics,
		Recorder:     h.Recorder,
		Source:       h.Watcher,
		Target:       h.Settings.Target.Address,
		Service:      h.Settings.Target.Service,
		LedgerLimits: limits,
		MaxInFlight:  h.Settings.Limits.MaxInFlight,
	}
	h.Handlers[link.PurposeCalls] = s.gate.Handler()
	h.Components = append(h.Components, proc.Component{Name: "gate", Run: s.gate.Run})
}

// The cache of chunks may use the memory limit divided by cacheDivisor.
const cacheDivisor = 4

func (s *Side) buildDistribution() {
	h := s.Process
	links := h.Settings.Links
	s.pacer = pace.New(pace.Config{Up: links.Up, Down: links.Down, Region: links.Region}, h.Clock)
	s.node = &swarm.Node{
		Self:    h.Self,
		Clock:   h.Clock,
		Log:     h.Log,
		Logger:  h.Logger,
		Metrics: h.Metrics,
		Staging: &stage.Client{Address: h.Settings.Target.Address, HTTP: http.Client{Transport: bound.NewTransport(net.Dialer{})}},
		Origin:  h.Settings.Platform.Origin,
		Store:   h.Settings.Platform.Store,
		Spread:  spread.Config{UploadSlots: h.Settings.Limits.UploadSlots},
		Pacer:   s.pacer,
		// The engine's staging area holds every chunk; the cache only saves reading
		// chunks again that several peers request at about the same time. If it took
		// most of the memory limit, the garbage collector would run all the time.
		CacheBytes: h.Settings.Limits.Memory / cacheDivisor,
	}
	h.Handlers[link.PurposeWeights] = s.node.Handler()
	h.Components = append(h.Components,
		proc.Component{Name: "weights", Run: s.node.Run},
		proc.Component{Name: "wanted versions", Run: s.watchView},
		proc.Component{Name: "live traffic", Run: s.meterCalls},
	)
}

func (s *Side) buildController() {
	h := s.Process
	s.controller = &order.Controller{
		Self:             h.Self,
		Clock:            h.Clock,
		Uptime:           uptime.Now,
		Log:              h.Log,
		Source:           h.Watcher,
		Engine:           &order.EngineClient{Address: h.Settings.Target.Address, Client: &http.Client{Transport: bound.NewTransport(net.Dialer{})}},
		VerifiedManifest: s.verified,
		Draining:         h.Draining,
	}
	h.Handlers[link.PurposeOrders] = s.controller.Handler()
	h.Components = append(h.Components, proc.Component{Name: "load orders", Run: s.controller.Run})
}

// listTimeout is how long a side that has just started waits for a VM list before it
// assumes that it is the only side. Otherwise, when a whole fleet starts, every side would
// rank first for every chunk and download a copy of its own from the origin.
const listTimeout = 10 * time.Second

// watchView passes each new view to the distribution of weights.
func (s *Side) watchView(ctx context.Context) error {
	timeout := s.Process.Clock.After(listTimeout)
	timedOut := false
	for {
		changed := s.Process.Watcher.Changed()
		v := s.Process.Watcher.Current()
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
	want, ok := roll.WantOf(v, s.Process.Self.VM)
	if !ok {
		return
	}
	var wanted []swarm.WantedVersion
	if want.Placed && want.Manifest != "" {
		wanted = append(wanted, swarm.WantedVersion{Model: want.Model, Version: want.Version, Manifest: want.Manifest})
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
