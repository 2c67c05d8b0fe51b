package hosted

import (
	"context"
	"io"
	"math/rand/v2"
	"net"

	"hawthornferry/core/request/budget"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/space"
	"hawthornferry/io/process/alert"
	"hawthornferry/io/process/loads"
	"hawthornferry/io/process/uptime"
	"hawthornferry/io/request/direct"
)

// The fractions of the operator's bounds that an entry uses.
const (
	// keyShare is the part of the bound on revoked keys for which the process's copy of
	// the keys is trusted. The rest covers a watch that learns late of a change, and
	// requests in flight.
	keyShare = 0.8
	// tableShare is the part of the bound on configurations for which the process's copy
	// is trusted when it lacks a route or a key.
	tableShare = 0.9
)

// bodyMemoryShare is the part of the memory limit that bodies of requests and responses may
// take. Garbage that is not collected yet may take as much again, and connections, state
// and code the rest.
const bodyMemoryShare = 0.3

// Entry is the process that accepts callers' requests and forwards each to a target. Set
// the exported fields before Run.
type Entry struct {
	Settings    Settings
	Platform    Platform
	HeaderCodec direct.HeaderCodec
	Log         io.Writer
}

// Run runs the entry until ctx ends and requests in flight have finished.
func (e *Entry) Run(ctx context.Context) error {
	p, err := newProcess(e.Settings, e.Platform, e.Log)
	if err != nil {
		return err
	}
	callers, err := listen("callers", e.Settings.CallersAddr)
	if err != nil {
		return err
	}
	bounds := e.Settings.Bounds
	server := &direct.Server{
		Listener: callers, Clock: p.clock, Log: p.log, Metrics: p.metrics, Source: p.feed, HeaderCodec: e.HeaderCodec,
		Placer: &place.Placer{
			Name: e.Settings.VM.Name, Zone: e.Settings.VM.Zone, Regions: e.Settings.Regions,
			Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			ColdRate: bounds.ColdRate, StartedAt: p.clock.Now(),
		},
		Rules: direct.Rules{
			MaxTableAge:      scaleDuration(bounds.ConfigDelay, tableShare),
			GracePeriod:      bounds.GracePeriod,
			OldVersionPeriod: bounds.OldVersionPeriod,
			RetryBudget:      budget.Budget{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow},
		},
	}
	if bounds.StrictKeys {
		server.Rules.MaxKeyAge = scaleDuration(bounds.RevocationDelay, keyShare)
	}
	server.Suspects, server.CutOffs = p.alerts, p.cutOffs
	if limit := e.Settings.MemoryLimit; limit > 0 {
		server.Memory = &space.Budget{Limit: int64(float64(limit) * bodyMemoryShare)}
	}
	hubClient := &alert.HubClient{Self: p.self, Clock: p.clock, Log: p.log, Registry: p.alerts}
	listChecker := &alert.ListChecker{Clock: p.clock, Registry: p.alerts, Source: p.feed}
	loadListener := &loads.Listener{Self: p.self, Clock: p.clock, Log: p.log, Uptime: uptime.Now}
	reports := &loadReports{
		entry: e.Settings.VM, sidePort: e.Settings.SidePort, setSides: loadListener.SetSides, report: server.Report,
		requestLease: loadListener.RequestLease, addPermits: server.AddPermits,
	}
	demands := &demandReports{
		clock: p.clock, uptime: uptime.Now, log: p.log, metrics: p.metrics, sidePort: e.Settings.SidePort, source: server, sender: loadListener,
	}
	reports.addCollectors = demands.setTargets
	loadListener.OnLoad, loadListener.OnGrant, loadListener.OnTotals = reports.receive, reports.receivePermits, demands.receive
	server.Placer.RequestLease = reports.askForPermits
	p.components = append(
		p.components,
		component{"callers", server.Run},
		component{"load reports", loadListener.Run},
		component{"alerts", hubClient.Run},
		component{"target list", listChecker.Run},
		component{"alert hubs", func(ctx context.Context) error { return p.updateHubs(ctx, hubClient.SetHubs) }},
		component{"demand", demands.run},
		component{"sides to listen to", func(ctx context.Context) error { return reports.watchTargets(ctx, p.feed) }},
	)
	p.ready, p.drain, p.served, p.ends = server.Ready, server.Drain, server.Served, server.AttemptEnds
	p.notices, p.entries = server.NoticeCounts, server.Entries
	peers, api, err := e.listeners()
	if err != nil {
		return err
	}
	return p.run(ctx, peers, api)
}

func (e *Entry) listeners() (peers, api []net.Listener, err error) {
	s := e.Settings
	ready, err := listen("readiness", s.ReadyAddr)
	if err != nil {
		return nil, nil, err
	}
	metrics, err := listen("metrics", s.MetricsAddr)
	if err != nil {
		return nil, nil, err
	}
	own, err := listen("peers", s.VM.Address)
	if err != nil {
		return nil, nil, err
	}
	peers = append(peers, own)
	if s.ControlAddr.IsValid() && s.ControlAddr != s.VM.Address {
		control, err := listen("control", s.ControlAddr)
		if err != nil {
			return nil, nil, err
		}
		peers = append(peers, control)
	}
	return peers, []net.Listener{ready, metrics}, nil
}
