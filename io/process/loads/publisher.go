// Package loads reports the load of engines to entries. The side next to an engine polls it
// and publishes its load to the entries that are connected (Publisher); an entry listens to
// the sides of the engines that it uses (Listener). An entry sees only its own requests;
// without these reports it would send more to engines that other entries have filled.
// Package hosted runs both.
package loads

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/demand"
	"hawthornferry/core/request/lease"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/version/adapt"
)

// Intervals and timeouts of a publisher.
const (
	// pollInterval is how often the engine is polled. A pass of the engine takes about
	// 50 ms; a second report within a pass tells nothing new.
	pollInterval = 50 * time.Millisecond
	// maxPollInterval is the longest interval when many entries make reports less
	// frequent, and idlePollInterval the interval while the engine has no requests.
	maxPollInterval  = 100 * time.Millisecond
	idlePollInterval = 200 * time.Millisecond
	// heartbeatInterval is how often an unchanged load is reported, so that an entry can
	// tell an idle engine from a lost side.
	heartbeatInterval = 300 * time.Millisecond
	// maxFailedPolls is how many polls in a row must fail for an engine to count as
	// dead: a busy machine may lose one.
	maxFailedPolls = 2
	pollTimeout    = 150 * time.Millisecond
	sendTimeout    = time.Second
	// delayPerEntry is the delay between two reports to an entry for each connected entry.
	// It limits a side to two hundred reports a second, however many entries are
	// connected, except for heartbeats: with more than 60 entries they are more.
	delayPerEntry = 5 * time.Millisecond
)

// Load is the report of an engine's load. Active and Queued count the requests of all
// entries, Slowness is how many times longer than declared the engine's steps take,
// ServedVersion is the version that it serves, 0 for none, and Loading is set while it loads a
// version or is about to.
type Load struct {
	Alive         bool    `msgpack:"alive"`
	Active        int     `msgpack:"active"`
	Queued        int     `msgpack:"queued"`
	Slowness      float64 `msgpack:"pace"`
	ServedVersion uint64  `msgpack:"serving"`
	Loading       bool    `msgpack:"loading"`
	// StartedAt is when the engine started, zero if it does not report that.
	StartedAt time.Time `msgpack:"born"`
	// Cold is set if the engine has started so recently that it tolerates few requests.
	Cold bool `msgpack:"cold"`
	// OwnZone and OtherZones are the numbers of entries that are connected to the side, from
	// the side's own zone and from others.
	OwnZone    int `msgpack:"near"`
	OtherZones int `msgpack:"far"`
	// Rate is the limit that the engine names.
	Rate lease.RateReport `msgpack:"rate"`
}

// Kind returns the message's name in the protocol.
func (*Load) Kind() frame.Kind { return "load" }

// Check returns an error if a number is negative.
func (l *Load) Check() error {
	if l.Active < 0 || l.Queued < 0 || l.Slowness < 0 || l.OwnZone < 0 || l.OtherZones < 0 {
		return errors.Newf("load: %d active, %d queued, pace %g, %d and %d entries: want none below 0", l.Active, l.Queued, l.Slowness, l.OwnZone, l.OtherZones)
	}
	return errors.Wrap(l.Rate.Limit.Check(), "load")
}

// urgent reports whether a change from l to next must be reported at once, because it
// decides whether the engine is usable. The other fields only affect how an entry weighs
// targets against each other.
func (l *Load) urgent(next *Load) bool {
	return l.Alive != next.Alive || l.ServedVersion != next.ServedVersion || l.Loading != next.Loading || l.Cold != next.Cold || l.Rate != next.Rate || !l.StartedAt.Equal(next.StartedAt)
}

func kinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &Load{} })
	k.Register(func() frame.Message { return &leaseRequest{} })
	k.Register(func() frame.Message { return &leaseGrant{} })
	k.Register(func() frame.Message { return &demandReport{} })
	k.Register(func() frame.Message { return &demandTotals{} })
	return k
}

// Publisher polls the engine and reports its load to the entries that are connected. Set
// the exported fields before Run.
type Publisher struct {
	Clock  clockwork.Clock
	Log    trail.Log
	Engine adapt.Engine
	// Zone is the side's zone.
	Zone string
	// OnUrgentChange, when set, is called when a poll finds a change that decides whether
	// the engine is usable. It must not block.
	OnUrgentChange func()
	// Uptime is a clock that keeps counting while the machine is suspended. Warmup returns
	// how long an engine is cold after its start, and ColdLimit how many requests a second
	// it tolerates meanwhile, 0 for any number; false if that is not known yet.
	Uptime    func() time.Duration
	Warmup    func() time.Duration
	ColdLimit func() (perSecond int, known bool)

	mu          sync.Mutex
	ledger      lease.Ledger
	bucket      lease.Bucket
	rate        lease.RateReport
	cold        coldEngine
	load        Load
	published   bool
	failures    int
	aboutToLoad bool
	ownZone     int
	otherZones  int
	changed     chan struct{}
	demands     demand.Ledger
	// connections is the number of connections so far.
	connections uint64
}

// Announce reports that the engine is about to load, or, with false, that the order to load
// has been given, after which polls show the engine's state. Requests sent in between would
// wait until the load has ended.
func (p *Publisher) Announce(loading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aboutToLoad = loading
	if next := p.load; loading && !next.Loading {
		next.Loading = true
		p.publish(next)
	}
}

// ServedVersion returns the version that the engine serves, or false before the first report.
func (p *Publisher) ServedVersion() (uint64, bool) {
	l, published, _ := p.current()
	return l.ServedVersion, published
}

// Handler returns the handler for connections of entries.
func (p *Publisher) Handler() link.Handler {
	return link.Handler{Kinds: kinds(), Serve: p.serve}
}

// Run polls the engine until ctx ends.
func (p *Publisher) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ledger.AssumeGranted(p.Uptime())
	p.mu.Unlock()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-p.Clock.After(p.pollDelay()):
		}
	}
}

func (p *Publisher) pollDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.load.Active+p.load.Queued == 0 && p.load.Alive && !p.load.Loading {
		return idlePollInterval
	}
	// There is no need to poll more often than reports are sent.
	return min(max(pollInterval, p.reportInterval()), maxPollInterval)
}

// reportInterval returns the minimum time between two reports to the same entry. p.mu must
// be held.
func (p *Publisher) reportInterval() time.Duration {
	return min(delayPerEntry*time.Duration(p.ownZone+p.otherZones), heartbeatInterval)
}

func (p *Publisher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := p.Engine.Report(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	next := Load{Alive: true, Active: r.Active, Queued: r.Queued, Slowness: r.Slowness, ServedVersion: r.ServedVersion, Loading: r.Loading, StartedAt: r.StartedAt}
	if err != nil {
		p.failures++
		if p.failures < maxFailedPolls {
			return
		}
		next = Load{}
	} else {
		p.cold.observe(p.Uptime(), p.Clock.Now(), r.StartedAt, p.failures >= maxFailedPolls, p.Warmup())
		next.Cold = p.cold.isCold(p.Uptime())
		p.failures = 0
		if !r.StartedAt.Equal(p.load.StartedAt) {
			// What limited the engine before its start no longer counts.
			p.rate = lease.RateReport{}
		}
	}
	next.Loading = next.Loading || p.aboutToLoad
	if next == p.load && p.published {
		return
	}
	if next.Alive != p.load.Alive || next.ServedVersion != p.load.ServedVersion || !p.published {
		p.logState(next, err)
	}
	if p.OnUrgentChange != nil && p.load.urgent(&next) {
		p.OnUrgentChange()
	}
	p.publish(next)
}

// publish sets the load and wakes the connections of entries. p.mu must be held.
func (p *Publisher) publish(next Load) {
	p.load, p.published = next, true
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

func (p *Publisher) logState(l Load, err error) {
	d := trail.Decision{Area: trail.AreaMember, Action: "engineAlive", Load: l.Active, Version: l.ServedVersion}
	if !l.Alive {
		d.Action = "engineSilent"
	}
	if err != nil {
		d.Reason = err.Error()
	}
	p.Log.Record(d)
}

func (p *Publisher) current() (Load, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	l := p.load
	l.OwnZone, l.OtherZones, l.Rate = p.ownZone, p.otherZones, p.rate
	return l, p.published, p.changed
}

func (p *Publisher) countEntries(zone string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if zone == p.Zone {
		p.ownZone += n
		return
	}
	p.otherZones += n
}

// subscriber is an entry that is connected. It is a listener, which gets load reports and is
// counted in them, unless it has said that it needs only what the collector of a service
// knows.
type subscriber struct {
	publisher  *Publisher
	conn       *link.Conn
	source     demand.Source
	demandOnly atomic.Bool
}

// setDemandOnly records whether the entry needs no load reports. If other entries counted it
// among the listeners, they would overestimate how many entries there are.
func (s *subscriber) setDemandOnly(only bool) {
	if s.demandOnly.Swap(only) == only {
		return
	}
	n := 1
	if only {
		n = -1
	}
	s.publisher.countEntries(s.conn.Peer.VM.Zone, n)
}

// serve sends reports to one entry until its connection ends.
func (p *Publisher) serve(ctx context.Context, c *link.Conn) {
	s := &subscriber{publisher: p, conn: c, source: p.addSource(c)}
	defer p.removeSource(s.source)
	p.countEntries(c.Peer.VM.Zone, 1)
	defer s.setDemandOnly(true)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var receiving sync.WaitGroup
	// A message that is handled after this would count the entry once more.
	defer receiving.Wait()
	defer c.Close()
	receiving.Go(func() {
		defer cancel()
		p.logInvalid(s.source, s.receive())
	})
	for ctx.Err() == nil {
		l, published, changed := p.current()
		if published {
			if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
				return
			}
			if c.Send(&l) != nil {
				return
			}
		}
		p.awaitReport(ctx, &l, changed, s.demandOnly.Load())
	}
}

// receive answers an entry's messages until the connection ends, and returns why it did.
func (s *subscriber) receive() error {
	for {
		m, err := s.conn.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *leaseRequest:
			err = s.publisher.grant(s.conn, m)
		case *demandReport:
			s.setDemandOnly(m.DemandOnly)
			err = s.send(s.publisher.recordDemand(s.source, m))
		}
		if err != nil {
			return err
		}
	}
}

func (s *subscriber) send(m frame.Message) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	return s.conn.Send(m)
}

// awaitReport returns once the next report to an entry is due, after l was sent to it: at
// once for an urgent change, after reportInterval for another one, and after
// heartbeatInterval without a change. An entry that needs only demand gets no changes.
func (p *Publisher) awaitReport(ctx context.Context, l *Load, changed <-chan struct{}, demandOnly bool) {
	if demandOnly {
		changed = nil
	}
	heartbeat := p.Clock.After(heartbeatInterval)
	p.mu.Lock()
	reportInterval := p.reportInterval()
	p.mu.Unlock()
	intervalOver := p.Clock.After(reportInterval)
	mayReport, changedSince := false, false
	for !mayReport || !changedSince {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat:
			return
		case <-intervalOver:
			mayReport = true
		case <-changed:
			var next Load
			next, _, changed = p.current()
			changedSince = true
			if l.urgent(&next) {
				return
			}
		}
	}
}
