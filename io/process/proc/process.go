// Package proc runs what entries and sides have in common: logs, metrics, configuration, the
// listener for peers and the administration API. The commands in package cmds open a
// Process; packages entry and side add their own components to it and call Run.
package proc

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/admin"
	"hawthornferry/io/process/conf"
	"hawthornferry/io/process/jsonl"
	"hawthornferry/io/process/trends"
	"hawthornferry/io/process/watch"
)

// Component is a part of a process that runs until its context ends.
type Component struct {
	Name string
	Run  func(ctx context.Context) error
}

// Process is the common part of a process. Settings, Version, Peers and Admin are set before
// Open, which creates the fields from Self to Watcher. Those from Components to Drain are set
// before Run.
type Process struct {
	Settings conf.Settings
	Version  string
	Peers    net.Listener
	Admin    net.Listener

	Self     *link.Self
	Clock    clockwork.Clock
	Logger   *logrus.Logger
	Log      trail.Log
	Metrics  tally.Scope
	Recorder *trends.Recorder
	Watcher  *watch.Watcher

	Components []Component
	Handlers   map[link.Purpose]link.Handler
	// Ready returns why the process does not accept callers, or nil if it does.
	Ready func() error
	// AddStatus adds to a status what only the entry or the side knows.
	AddStatus func(s *admin.Status)
	// Drain stops new work and returns when work in flight has finished.
	Drain func(ctx context.Context) error

	started  time.Time
	metrics  http.Handler
	closers  []io.Closer
	sinks    []*jsonl.Sink
	draining chan struct{}
}

// Open creates the common components from the settings.
func (p *Process) Open() error {
	p.Clock = clockwork.NewRealClock()
	p.started = p.Clock.Now()
	p.draining = make(chan struct{})
	// With a soft limit, the garbage collector works harder before the process reaches
	// the memory limit of the VM's slot, at which it would be killed.
	debug.SetMemoryLimit(p.Settings.Limits.Memory)
	p.openSelf()
	var closer io.Closer
	p.Metrics, p.metrics, closer = admin.NewMetrics()
	p.closers = append(p.closers, closer)
	p.Recorder = &trends.Recorder{Clock: p.Clock, Metrics: p.Metrics}
	if err := p.openLogs(); err != nil {
		return err
	}
	p.openWatcher()
	return nil
}

func (p *Process) openSelf() {
	settings := p.Settings.Process
	p.Self = &link.Self{Boot: uuid.NewString()}
	p.Self.VM = fleet.VM{
		Name:    settings.Name,
		Role:    settings.Role,
		Zone:    settings.Zone,
		Region:  settings.Region,
		Service: p.Settings.Target.Service,
		Address: p.Settings.Listen.Peers,
		State:   fleet.StateLive,
	}
}

func (p *Process) openLogs() error {
	logs := p.Settings.Log
	logger, err := p.openLog(logs.Output)
	if err != nil {
		return err
	}
	p.Logger = logger
	decisions := logger
	if logs.Decisions != "" && logs.Decisions != logs.Output {
		decisions, err = p.openLog(logs.Decisions)
		if err != nil {
			return err
		}
	}
	p.Log = &jsonl.Log{Process: p.Self.VM.Name, Boot: p.Self.Boot, Clock: p.Clock, Logger: decisions}
	return nil
}

func (p *Process) openLog(output string) (*logrus.Logger, error) {
	out, err := jsonl.OpenOutput(output)
	if err != nil {
		return nil, err
	}
	sink := &jsonl.Sink{Out: out, QueueLines: p.Settings.Log.Buffer, Metrics: p.Metrics}
	p.closers = append(p.closers, out)
	p.sinks = append(p.sinks, sink)
	return jsonl.NewLogger(sink, p.Settings.Log.Level)
}

func (p *Process) openWatcher() {
	p.Watcher = &watch.Watcher{
		Self:          p.Self,
		Clock:         p.Clock,
		Log:           p.Log,
		Metrics:       p.Metrics,
		Environment:   p.Settings.Platform.Environment,
		ConfigService: p.Settings.Platform.Config,
		VMListService: p.Settings.Platform.VMList,
		Seeds:         p.Settings.Peers.Seeds,
	}
}

// Run runs the process until ctx ends, then drains it within the grace period. It returns an
// error if a component failed or work was still in flight when the grace period ended.
func (p *Process) Run(ctx context.Context) error {
	sinkCtx, stopSinks := context.WithCancel(context.Background())
	var sinks errgroup.Group
	for _, s := range p.sinks {
		sinks.Go(func() error { return s.Run(sinkCtx) })
	}
	p.Logger.WithField("vm", p.Self.VM.Name).WithField("boot", p.Self.Boot).Info("started")
	err := p.runComponents(ctx)
	p.Logger.WithField("vm", p.Self.VM.Name).WithError(err).Info("stopped")
	stopSinks()
	return errors.CombineErrors(err, errors.CombineErrors(sinks.Wait(), p.close()))
}

// runComponents runs the components until ctx ends or one fails. They keep running while the
// process drains: calls in flight still need sessions, configuration and the administration
// API.
func (p *Process) runComponents(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	for _, c := range p.allComponents() {
		g.Go(func() error { return operr.Wrap("run "+c.Name, "", c.Run(runCtx)) })
	}
	select {
	case <-runCtx.Done():
		return g.Wait()
	case <-ctx.Done():
	}
	close(p.draining)
	err := p.drain()
	stop()
	return errors.CombineErrors(err, g.Wait())
}

func (p *Process) drain() error {
	if p.Drain == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.Settings.Limits.Grace)
	defer cancel()
	return operr.Wrap("drain within the grace period", "", p.Drain(ctx))
}

func (p *Process) allComponents() []Component {
	handlers := map[link.Purpose]link.Handler{link.PurposeConfig: p.Watcher.Handler()}
	for purpose, handler := range p.Handlers {
		handlers[purpose] = handler
	}
	peers := &link.Listener{Self: p.Self, Net: p.Peers, Handlers: handlers, OnReject: p.rejected}
	api := &admin.Server{Listener: p.Admin, Status: p.status, Ready: p.ready, Metrics: p.metrics}
	components := []Component{
		{Name: "peer listener", Run: peers.Run},
		{Name: "administration API", Run: api.Run},
		{Name: "configuration", Run: p.Watcher.Run},
		{Name: "measures", Run: p.Recorder.Run},
	}
	return append(components, p.Components...)
}

func (p *Process) rejected(err error) {
	p.Metrics.Counter("peers_rejected_total").Inc(1)
	p.Logger.WithError(err).Warn("peer rejected")
}

// Draining reports whether the process is shutting down.
func (p *Process) Draining() bool {
	select {
	case <-p.draining:
		return true
	default:
		return false
	}
}

func (p *Process) ready() error {
	if p.Draining() {
		return errors.New("draining")
	}
	if p.Watcher.Current().Document == nil {
		return errors.New("no environment document yet")
	}
	if p.Ready == nil {
		return nil
	}
	return p.Ready()
}

func (p *Process) status() admin.Status {
	s := admin.Status{Process: p.processStatus(), Config: p.configStatus(), Traffic: p.traffic()}
	s.Drift = p.Recorder.Drift()
	s.Tables = p.Recorder.Tables()
	if p.AddStatus != nil {
		p.AddStatus(&s)
	}
	return s
}

func (p *Process) traffic() []admin.Traffic {
	var out []admin.Traffic
	for _, purpose := range link.Purposes() {
		t := p.Self.Totals.ByPurpose(purpose)
		out = append(out, admin.Traffic{Purpose: string(purpose), Received: t.Received(), Sent: t.Sent()})
	}
	return out
}

func (p *Process) processStatus() admin.Process {
	vm := p.Self.VM
	status := admin.Process{
		Name:    vm.Name,
		Role:    vm.Role,
		Zone:    vm.Zone,
		Region:  vm.Region,
		Boot:    p.Self.Boot,
		Version: p.Version,
		Started: p.started,
		Ready:   true,
	}
	if err := p.ready(); err != nil {
		status.Ready = false
		status.NotReadyReason = err.Error()
	}
	return status
}

func (p *Process) configStatus() admin.Config {
	v := p.Watcher.Current()
	st := p.Watcher.Stats()
	c := admin.Config{
		Environment:      p.Settings.Platform.Environment,
		Revision:         v.Revision(),
		ReadRevision:     st.ReadRevision,
		RefusedRevision:  st.RefusedRevision,
		RefusalReason:    st.RefusalReason,
		ConflictRevision: st.ConflictRevision,
		Reader:           st.Reader,
		Peers:            st.Peers,
		VMListVersion:    st.VMListVersion,
		VMs:              len(v.VMs),
	}
	if v.Document != nil {
		c.Stage = string(v.Document.Stage)
	}
	return c
}

func (p *Process) close() error {
	var err error
	for _, c := range p.closers {
		err = errors.CombineErrors(err, c.Close())
	}
	return err
}
