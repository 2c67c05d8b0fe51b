// Package side is the process beside one target: it brings weights to the
// target, orders it to load them and carries every call to it.
package side

import (
	"context"
	"net/http"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/view"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/awake"
	"hawthornferry/io/process/host"
	"hawthornferry/io/request/gate"
	"hawthornferry/io/version/order"
	"hawthornferry/io/version/pace"
	"hawthornferry/io/version/stage"
	"hawthornferry/io/version/swarm"
)

// Side is one side process. Host is opened before Run; nothing else is set.
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
		s.buildNode()
		s.buildOrderer()
	}
	h.Fill = s.fill
	h.Drain = s.gate.Drain
	return h.Run(ctx)
}

func (s *Side) buildGate() {
	h := s.Host
	limits := calls.DefaultLimits()
	limits.Records = h.Settings.Limits.MaxRecords
	limits.Keep = h.Settings.Limits.RecordAge
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
	h.Parts = append(h.Parts, host.Part{Name: "gate", Run: s.gate.Run})
}

// cacheShare is the part of the memory limit that the cache of chunks may use.
const cacheShare = 4

func (s *Side) buildNode() {
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
		Burst:   burst.Config{Uploads: h.Settings.Limits.UploadSlots},
		Pacer:   s.pacer,
		// The engine's staging area holds every chunk; the cache only spares
		// reading back what several peers ask for at once. With most of the
		// memory limit in it the collector never rests.
		CacheBytes: h.Settings.Limits.Memory / cacheShare,
	}
	h.Handlers[link.PurposeWeights] = s.node.Handler()
	h.Parts = append(h.Parts,
		host.Part{Name: "weights", Run: s.node.Run},
		host.Part{Name: "wanted versions", Run: s.follow},
		host.Part{Name: "live traffic", Run: s.meterCalls},
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
	h.Parts = append(h.Parts, host.Part{Name: "load orders", Run: s.orderer.Run})
}

// listWait is how long a side that has just started waits for a VM list
// before it takes itself for the only side. Without it every side of a fleet
// that starts ranks first for every chunk and draws a copy of its own from
// the origin.
const listWait = 10 * time.Second

// follow tells the swarm of each new view.
func (s *Side) follow(ctx context.Context) error {
	alone := s.Host.Clock.After(listWait)
	waited := false
	for {
		changed := s.Host.Watcher.Changed()
		v := s.Host.Watcher.Current()
		if waited || len(v.VMs) > 0 {
			s.update(v)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-alone:
			waited = true
		}
	}
}

func (s *Side) update(v view.View) {
	want, ok := roll.Place(v, s.Host.Self.VM)
	if !ok {
		return
	}
	var wanted []swarm.Wanted
	if want.Placed && want.Manifest != "" {
		wanted = append(wanted, swarm.Wanted{Model: want.Model, Version: want.Version, Manifest: want.Manifest})
	}
	s.node.Update(v, wanted)
}

// verified returns the manifest of a version that is staged whole.
func (s *Side) verified(d chunk.Digest) (chunk.Manifest, bool) {
	for _, p := range s.node.Progress() {
		if p.Wanted.Manifest == d && p.Verified {
			return p.Manifest, true
		}
	}
	return chunk.Manifest{}, false
}
