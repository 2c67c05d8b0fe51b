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
func (h *Process) Open() error {
	h.Clock = clockwork.NewRealClock()
	h.started = h.Clock.Now()
	h.draining = make(chan struct{})
	// With a soft limit, the garbage collector works harder before the process reaches
	// the memory limit of the VM's slot, at which it would be killed.
	debug.SetMemoryLimit(h.Settings.Limits.Memory)
	h.openSelf()
	var closer io.Closer
	h.Metrics, h.metrics, closer = admin.NewMetrics()
	h.closers = append(h.closers, closer)
	h.Recorder = &trends.Recorder{Clock: h.Clock, Metrics: h.Metrics}
	if err := h.openLogs(); err != nil {
		return err
	}
	h.openWatcher()
	return nil
}

func (h *Process) openSelf() {
	p := h.Settings.Process
	h.Self = &link.Self{Boot: uuid.NewString()}
	h.Self.VM = fleet.VM{
		Name:    p.Name,
		Role:    p.Role,
		Zone:    p.Zone,
		Region:  p.Region,
		Service: h.Settings.Target.Service,
		Address: h.Settings.Listen.Peers,
		State:   fleet.StateLive,
	}
}

func (h *Process) openLogs() error {
	logs := h.Settings.Log
	logger, err := h.openLog(logs.Output)
	if err != nil {
		return err
	}
	h.Logger = logger
	decisions := logger
	if logs.Decisions != "" && logs.Decisions != logs.Output {
		decisions, err = h.openLog(logs.Decisions)
		if err != nil {
			return err
		}
	}
	h.Log = &jsonl.Log{Process: h.Self.VM.Name, Boot: h.Self.Boot, Clock: h.Clock, Logger: decisions}
	return nil
}

func (h *Process) openLog(output string) (*logrus.Logger, error) {
	out, err := jsonl.OpenOutput(output)
	if err != nil {
		return nil, err
	}
	sink := &jsonl.Sink{Out: out, QueueLines: h.Settings.Log.Buffer, Metrics: h.Metrics}
	h.closers = append(h.closers, out)
	h.sinks = append(h.sinks, sink)
	return jsonl.NewLogger(sink, h.Settings.Log.Level)
}

func (h *Process) openWatcher() {
	h.Watcher = &watch.Watcher{
		Self:          h.Self,
		Clock:         h.Clock,
		Log:           h.Log,
		Metrics:       h.Metrics,
		Environment:   h.Settings.Platform.Environment,
		ConfigService: h.Settings.Platform.Config,
		VMListService: h.Settings.Platform.VMList,
		Seeds:         h.Settings.Peers.Seeds,
	}
}

// Run runs the process until ctx ends, then drains it within the grace period. It returns an
// error if a component failed or work was still in flight when the grace period ended.
func (h *Process) Run(ctx context.Context) error {
	sinkCtx, stopSinks := context.WithCancel(context.Background())
	var sinks errgroup.Group
	for _, s := range h.sinks {
		sinks.Go(func() error { return s.Run(sinkCtx) })
	}
	h.Logger.WithField("vm", h.Self.VM.Name).WithField("boot", h.Self.Boot).Info("started")
	err := h.runComponents(ctx)
	h.Logger.WithField("vm", h.Self.VM.Name).WithError(err).Info("stopped")
	stopSinks()
	return errors.CombineErrors(err, errors.CombineErrors(sinks.Wait(), h.close()))
}

// runComponents runs the components until ctx ends or one fails. They keep running while the
// process drains: calls in flight still need sessions, configuration and the administration
// API.
func (h *Process) runComponents(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	for _, c := range h.allComponents() {
		g.Go(func() error { return operr.Wrap("run "+c.Name, "", c.Run(runCtx)) })
	}
	select {
	case <-runCtx.Done():
		return g.Wait()
	case <-ctx.Done():
	}
	close(h.draining)
	err := h.drain()
	stop()
	return errors.CombineErrors(err, g.Wait())
}

func (h *Process) drain() error {
	if h.Drain == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.Settings.Limits.Grace)
	defer cancel()
	return operr.Wrap("drain within the grace period", "", h.Drain(ctx))
}

func (h *Process) allComponents() []Component {
	handlers := map[link.Purpose]link.Handler{link.PurposeConfig: h.Watcher.Handler()}
	for p, handler := range h.Handlers {
		handlers[p] = handler
	}
	peers := &link.Listener{Self: h.Self, Net: h.Peers, Handlers: handlers, OnReject: h.rejected}
	api := &admin.Server{Listener: h.Admin, Status: h.status, Ready: h.ready, Metrics: h.metrics}
	components := []Component{
		{Name: "peer listener", Run: peers.Run},
		{Name: "administration API", Run: api.Run},
		{Name: "configuration", Run: h.Watcher.Run},
		{Name: "measures", Run: h.Recorder.Run},
	}
	return append(components, h.Components...)
}

func (h *Process) rejected(err error) {
	h.Metrics.Counter("peers_rejected_total").Inc(1)
	h.Logger.WithError(err).Warn("peer rejected")
}

// Draining reports whether the process is shutting down.
func (h *Process) Draining() bool {
	select {
	case <-h.draining:
		return true
	default:
		return false
	}
}

func (h *Process) ready() error {
	if h.Draining() {
		return errors.New("draining")
	}
	if h.Watcher.Current().Document == nil {
		return errors.New("no environment document yet")
	}
	if h.Ready == nil {
		return nil
	}
	return h.Ready()
}

func (h *Process) status() admin.Status {
	s := admin.Status{Process: h.processStatus(), Config: h.configStatus(), Traffic: h.traffic()}
	s.Drift = h.Recorder.Drift()
	s.Tables = h.Recorder.Tables()
	if h.AddStatus != nil {
		h.AddStatus(&s)
	}
	return s
}

func (h *Process) traffic() []admin.Traffic {
	var out []admin.Traffic
	for _, p := range link.Purposes() {
		t := h.Self.Totals.ByPurpose(p)
		out = append(out, admin.Traffic{Purpose: string(p), Received: t.Received(), Sent: t.Sent()})
	}
	return out
}

func (h *Process) processStatus() admin.Process {
	vm := h.Self.VM
	p := admin.Process{
		Name:    vm.Name,
		Role:    vm.Role,
		Zone:    vm.Zone,
		Region:  vm.Region,
		Boot:    h.Self.Boot,
		Version: h.Version,
		Started: h.started,
		Ready:   true,
	}
	if err := h.ready(); err != nil {
		p.Ready = false
		p.NotReadyReason = err.Error()
	}
	return p
}

func (h *Process) configStatus() admin.Config {
	v := h.Watcher.Current()
	st := h.Watcher.Stats()
	c := admin.Config{
		Environment:      h.Settings.Platform.Environment,
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

func (h *Process) close() error {
	var err error
	for _, c := range h.closers {
		err = errors.CombineErrors(err, c.Close())
	}
	return err
}
