package hosted

import (
	"context"
	"io"
	"math/rand/v2"
	"net"

	"hawthornferry/core/request/place"
	"hawthornferry/core/request/spend"
	"hawthornferry/io/process/alert"
	"hawthornferry/io/process/pulse"
	"hawthornferry/io/request/direct"
)

// The parts of the operator's bounds that an entry uses.
const (
	// keyShare is the part of the bound on revoked keys for which a belief
	// vouches for them. The rest is for a watch that hears late of a change
	// and for requests on their way.
	keyShare = 0.8
	// tableShare is the part of the bound on configurations for which a
	// belief vouches that a route or a key does not exist.
	tableShare = 0.9
)

// Entry is an entry process. Set the exported fields before Run.
type Entry struct {
	Settings Settings
	Platform Platform
	Dialect  direct.Dialect
	Log      io.Writer
}

// Run runs the entry until ctx ends and it has drained.
func (e *Entry) Run(ctx context.Context) error {
	f, err := newFrame(e.Settings, e.Platform, e.Log)
	if err != nil {
		return err
	}
	callers, err := listen("callers", e.Settings.Callers)
	if err != nil {
		return err
	}
	b := e.Settings.Bounds
	server := &direct.Server{
		Net: callers, Clock: f.clock, Log: f.log, Metrics: f.metrics, Source: f.feed, Dialect: e.Dialect,
		Placer: &place.Placer{
			Name: e.Settings.VM.Name, Zone: e.Settings.VM.Zone, Regions: e.Settings.Regions,
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Rules: direct.Rules{
			TableAge: scaled(b.Apply, tableShare),
			Grace:    b.Grace,
			Version:  b.Version,
			Retry:    spend.Budget{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow},
		},
	}
	if b.StrictKeys {
		server.Rules.KeyAge = scaled(b.Revoke, keyShare)
	}
	server.Suspects = f.alerts
	alerts := &alert.Caller{Self: f.self, Clock: f.clock, Log: f.log, Registry: f.alerts}
	listing := &alert.Listing{Clock: f.clock, Registry: f.alerts, Source: f.feed}
	loads := &pulse.Listener{Self: f.self, Clock: f.clock, Log: f.log}
	listener := &audience{entry: e.Settings.VM, sidePort: e.Settings.SidePort, listen: loads.Want, report: server.Report}
	loads.Heard = listener.take
	f.parts = append(
		f.parts,
		part{"callers", server.Run},
		part{"load reports", loads.Run},
		part{"alerts", alerts.Run},
		part{"listed targets", listing.Run},
		part{"hubs of alerts", func(ctx context.Context) error { return f.followHubs(ctx, alerts.Want) }},
		part{"sides to hear", func(ctx context.Context) error { return listener.follow(ctx, f.feed) }},
	)
	f.ready, f.drain, f.served, f.ends = server.Ready, server.Drain, server.Served, server.Ends
	peers, api, err := e.listeners()
	if err != nil {
		return err
	}
	return f.run(ctx, peers, api)
}

func (e *Entry) listeners() (peers, api []net.Listener, err error) {
	s := e.Settings
	ready, err := listen("readiness", s.Ready)
	if err != nil {
		return nil, nil, err
	}
	metrics, err := listen("metrics", s.Metrics)
	if err != nil {
		return nil, nil, err
	}
	own, err := listen("peers", s.VM.Address)
	if err != nil {
		return nil, nil, err
	}
	peers = append(peers, own)
	if s.Control.IsValid() && s.Control != s.VM.Address {
		control, err := listen("control", s.Control)
		if err != nil {
			return nil, nil, err
		}
		peers = append(peers, control)
	}
	return peers, []net.Listener{ready, metrics}, nil
}
