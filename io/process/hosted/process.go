package hosted

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"hawthornferry/core/process/epoch"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
	"hawthornferry/io/conn/bound"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/admin"
	"hawthornferry/io/process/alert"
	"hawthornferry/io/process/feed"
	"hawthornferry/io/process/jsonl"
	"hawthornferry/io/process/uptime"
	"hawthornferry/io/request/direct"
)

// Platform is the access of a process to the platform that it runs on.
type Platform struct {
	Store   feed.Store
	Decoder feed.Decoder
	// CutOffs is told of responses that were not read to their end. The process sets its
	// fields. Nil if the platform's clients do not use it.
	CutOffs *bound.Reporter
	// ReloadSettings rereads the settings; nil if they cannot change while the process runs.
	ReloadSettings func() (Settings, error)
}

// Sizes and times that apply to every process.
const (
	// logBufferLines is how many lines are buffered for a slow log output. A burst of
	// one second writes about 200.
	logBufferLines = 2048
	// logLinesPerSecond limits the lines of one kind per second, and
	// routineLinesPerSecond those of requests that succeed: four times and twice the 60
	// requests per second that an entry gets at the load of a busy day. The limit for
	// refusals has to be higher, since refused callers retry.
	logLinesPerSecond     = 240
	routineLinesPerSecond = 120
	// gcPercent makes the garbage collector run when the heap has grown by this many
	// percent. Memory is charged by its peak, and the live heap is only a few megabytes,
	// half of it weights without pointers on a side, so that frequent collections cost
	// little.
	gcPercent = 25
	// memoryLimitShare is the part of the memory limit above which the garbage
	// collector works harder.
	memoryLimitShare = 0.8
)

// component is a part of a process that runs until its context ends.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// process is what an entry and a side have in common: the feed of the platform's
// state, logs, metrics, alerts and the servers for peers and administration. Entry
// and Side add their own components and callbacks before run.
type process struct {
	settings      Settings
	self          *link.Self
	clock         clockwork.Clock
	logger        *logrus.Logger
	log           trail.Log
	metrics       tally.Scope
	feed          *feed.Feed
	stallDetector *uptime.StallDetector
	alerts        *alert.Registry
	cutOffs       *bound.Reporter

	sink           *jsonl.Sink
	metricsCloser  io.Closer
	metricsHandler http.Handler
	handlers       map[link.Purpose]link.Handler
	components     []component
	started        time.Time
	// readSettings rereads the settings; nil if they cannot change. latest are the last
	// settings that could be used, and settingsFault is why later ones cannot; mu guards both.
	readSettings  func() (Settings, error)
	mu            sync.Mutex
	latest        Settings
	settingsFault string
	// ready returns why the process does not accept callers, nil if it does. drain
	// stops new work and returns when requests in flight have finished; nil if there
	// is nothing to drain.
	ready func() error
	drain func(ctx context.Context) error
	// served returns the model version that each engine is believed to serve.
	served func() []place.TargetVersion
	// ends counts the attempts and answers that this process ended itself.
	ends func() []trail.AttemptEndCount
	// notices counts the targets by what they say of themselves, and entries the entries
	// that this process has heard of.
	notices func() place.NoticeCounts
	entries func() int
}

func newProcess(s Settings, platform Platform, out io.Writer) (*process, error) {
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * memoryLimitShare))
	}
	p := &process{
		settings: s, latest: s, readSettings: platform.ReloadSettings, clock: clockwork.NewRealClock(),
		ready:   func() error { return nil },
		served:  func() []place.TargetVersion { return nil },
		ends:    func() []trail.AttemptEndCount { return nil },
		notices: func() place.NoticeCounts { return place.NoticeCounts{} },
		entries: func() int { return 0 },
	}
	p.started = p.clock.Now()
	p.self = &link.Self{VM: s.VM, Boot: uuid.NewString()}
	p.metrics, p.metricsHandler, p.metricsCloser = admin.NewMetrics()
	p.sink = &jsonl.Sink{Out: out, QueueLines: logBufferLines, Metrics: p.metrics}
	logger, err := jsonl.NewLogger(p.sink, logrus.InfoLevel.String())
	if err != nil {
		return nil, err
	}
	p.logger = logger
	p.log = &jsonl.Log{Process: s.NodeName, Clock: p.clock, Logger: logger, Routine: direct.IsRoutine, RateLimiter: &jsonl.RateLimiter{PerSecond: logLinesPerSecond, RoutinePerSecond: routineLinesPerSecond, Metrics: p.metrics}}
	p.cutOffs = platform.CutOffs
	if p.cutOffs == nil {
		p.cutOffs = &bound.Reporter{}
	}
	p.cutOffs.Clock, p.cutOffs.Log, p.cutOffs.Metrics = p.clock, p.log, p.metrics
	p.self.CutOffs = p.cutOffs
	p.stallDetector = &uptime.StallDetector{Clock: p.clock, Now: uptime.Now, Log: p.log, Metrics: p.metrics}
	wait, peerWait := entryWaits(s.Bounds)
	if s.VM.Role == fleet.RoleSide {
		wait, peerWait = sideStoreWait, sidePeerWait
	}
	p.feed = &feed.Feed{
		Self: p.self, Clock: p.clock, Log: p.log, Metrics: p.metrics,
		Store: platform.Store, Decoder: platform.Decoder, Uptime: uptime.Now, RanSince: p.stallDetector.RanSince, WatchWait: wait,
		DrainTime: s.Bounds.DrainTime, Peers: p.peers, StoreReaders: p.seeds,
	}
	if !p.readsStore() {
		p.feed.Upstreams, p.feed.UpstreamWait = p.seeds, peerWait
		if s.VM.Role == fleet.RoleSide {
			p.feed.StoreBackoff = sideStoreBackoff
		} else {
			p.feed.MaxStoreLateness = maxStoreLateness(s.Bounds, wait)
		}
		if allowsRelays(s.Bounds) {
			p.useRelays()
		}
	}
	p.alerts = &alert.Registry{Clock: p.clock, Log: p.log, Metrics: p.metrics}
	p.handlers = map[link.Purpose]link.Handler{link.PurposeConfig: p.feed.Handler(), link.PurposeAlerts: p.alerts.Handler()}
	return p, nil
}

// useRelays makes this process follow the relays of its zone, and be one if it ranks among
// them. A relay confirms its copy of the state as often as an entry, since entries follow
// it.
func (p *process) useRelays() {
	r := &relays{vm: p.settings.VM, sidePort: p.settings.SidePort, current: p.feed.Current}
	store, peer := entryWaits(p.settings.Bounds)
	p.feed.Relays = r.upstreams
	p.feed.RelayWaits = feed.Waits{Store: store, Upstream: peer}
	p.feed.IsRelay = r.includesSelf
	p.feed.MaxStoreLateness = maxStoreLateness(p.settings.Bounds, store)
	// A state is confirmed as of the start of a watch or request that has ended.
	p.feed.UsualAge = 2*store + 2*peer
}

// readsStore reports whether this process watches the store itself and passes changes
// on to the others. All processes that the settings list as seeds do, and every process
// if there are no seeds. The store's rate limit does not grow with the number of
// processes, and each call has a cost.
func (p *process) readsStore() bool {
	return len(p.settings.Seeds) == 0 || slices.Contains(p.settings.Seeds, p.settings.ControlAddr)
}

// peers returns the processes that may know the state of the store: the seeds and the
// sides of all engines.
func (p *process) peers() []feed.Peer {
	out := p.seeds()
	for _, a := range p.sides() {
		if a != p.settings.VM.Address {
			out = append(out, feed.Peer{Address: a})
		}
	}
	return out
}

// seeds returns the entries that the settings list as seeds, without this process.
func (p *process) seeds() []feed.Peer {
	var out []feed.Peer
	for _, a := range p.current().Seeds {
		if a != p.settings.ControlAddr {
			out = append(out, feed.Peer{Address: a})
		}
	}
	return out
}

// sides returns the addresses of the sides of all engines.
func (p *process) sides() []netip.AddrPort {
	snapshot := p.feed.Current()
	if snapshot.Table == nil {
		return nil
	}
	return engineSides(snapshot, p.settings.SidePort, "")
}

// listen opens a TCP listener. The error says what it is for and on which address.
func listen(what string, addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	return l, operr.Wrap("listen for "+what, addr.String(), err)
}

// run runs the components until ctx ends, then drains within the grace period. It
// flushes the log last.
func (p *process) run(ctx context.Context, peers []net.Listener, api []net.Listener) error {
	sinkCtx, stopSink := context.WithCancel(context.Background())
	var sink errgroup.Group
	sink.Go(func() error { return p.sink.Run(sinkCtx) })
	p.logger.WithFields(logrus.Fields{
		"vm": p.settings.NodeName, "address": p.settings.VM.Name, "role": p.settings.VM.Role, "zone": p.settings.VM.Zone,
		"boot": p.self.Boot, "pid": os.Getpid(),
	}).Info("started")
	err := p.runComponents(ctx, peers, api)
	p.logger.WithField("vm", p.settings.NodeName).WithField("reason", stopReason(err)).Info("stopped")
	stopSink()
	return errors.CombineErrors(err, errors.CombineErrors(p.flushLog(&sink), p.metricsCloser.Close()))
}

// flushTimeout limits the wait for the last log lines. Without it, a log output that
// nobody reads would block a drained process until it is killed.
const flushTimeout = killReserve / 2

// flushLog waits until the last log lines are written, flushTimeout at most.
func (p *process) flushLog(sink *errgroup.Group) error {
	done := make(chan error, 1)
	go func() { done <- sink.Wait() }()
	select {
	case err := <-done:
		return err
	case <-p.clock.After(flushTimeout):
		return nil
	}
}

func stopReason(err error) string {
	if err == nil {
		return "asked to stop"
	}
	return err.Error()
}

func (p *process) runComponents(ctx context.Context, peers, api []net.Listener) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	components := append([]component{{"store feed", p.feed.Run}, {"settings", p.watchSettings}, {"gauges", p.runGauges}, {"state log", p.logState}, {"standstills", p.stallDetector.Run}}, p.components...)
	for _, nl := range peers {
		l := &link.Listener{Self: p.self, Net: nl, Handlers: p.handlers, OnReject: p.rejected}
		components = append(components, component{"peers", l.Run})
	}
	for _, nl := range api {
		server := &admin.Server{Listener: nl, Status: p.status, Ready: p.ready, Metrics: p.metricsHandler}
		components = append(components, component{"administration", server.Run})
	}
	for _, c := range components {
		g.Go(func() error { return operr.Wrap("run "+c.name, "", c.run(runCtx)) })
	}
	select {
	case <-runCtx.Done():
		return g.Wait()
	case <-ctx.Done():
	}
	p.logger.WithField("vm", p.settings.NodeName).Info("draining")
	err := p.drainWithin()
	stop()
	return errors.CombineErrors(err, g.Wait())
}

// killReserve is how long before the platform kills the process it stops draining, to
// exit by itself.
const killReserve = 200 * time.Millisecond

func (p *process) drainWithin() error {
	if p.drain == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.GracePeriod-killReserve)
	defer cancel()
	return operr.Wrap("drain within the grace period", "", p.drain(ctx))
}

func (p *process) rejected(err error) {
	p.metrics.Counter("peers_rejected_total").Inc(1)
	p.logger.WithError(err).Debug("peer rejected")
}

func (p *process) status() admin.Status {
	vm := p.settings.VM
	s := admin.Status{Process: admin.Process{
		Name: vm.Name, Role: vm.Role, Zone: vm.Zone, Region: vm.Region,
		Boot: p.self.Boot, Started: p.started, Ready: true,
	}}
	if err := p.ready(); err != nil {
		s.Process.Ready, s.Process.NotReadyReason = false, err.Error()
	}
	faults, total := p.firstFaults()
	s.Config = admin.Config{Faults: faults, FaultCount: total, SettingsFault: p.currentSettingsFault(), Revision: epoch.Count(p.self.Revision.Load()), VMs: len(p.feed.Current().Targets)}
	return s
}
