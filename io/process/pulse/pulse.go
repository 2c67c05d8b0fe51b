// Package pulse tells entries, as it changes, of the load of the engine
// beside a side. An entry sees only its own requests; without the others' it
// would fill engines that are full already.
package pulse

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/version/shelf"
)

// Times of the exchange.
const (
	// readEvery is how often the engine is read. A pass takes about 50 ms; a
	// report within a pass tells nothing new.
	readEvery = 50 * time.Millisecond
	// mostReadEvery is the same where reports are told less often, and restEvery
	// while the engine has no requests.
	mostReadEvery = 100 * time.Millisecond
	restEvery     = 200 * time.Millisecond
	// repeatEvery is how often an unchanged load is told, so that an entry
	// can tell a quiet engine from a lost side.
	repeatEvery = 300 * time.Millisecond
	// silentAfter is how many reads in a row must fail for an engine to
	// count as dead: one may be lost by a busy machine.
	silentAfter = 2
	readTimeout = 150 * time.Millisecond
	sendTimeout = time.Second
	// perEntry is how much later a changed load is told for each entry that hears
	// it: a side tells two hundred times a second, however many entries there are.
	perEntry = 5 * time.Millisecond
)

// Load is what entries are told.
type Load struct {
	Alive   bool    `msgpack:"alive"`
	Active  int     `msgpack:"active"`
	Queued  int     `msgpack:"queued"`
	Pace    float64 `msgpack:"pace"`
	Serving uint64  `msgpack:"serving"`
	Loading bool    `msgpack:"loading"`
	// Born is when the engine started, zero when it does not tell.
	Born time.Time `msgpack:"born"`
	// Near and Far are how many entries are told, of the side's own zone and of
	// others.
	Near int `msgpack:"near"`
	Far  int `msgpack:"far"`
}

// Kind names the message.
func (*Load) Kind() frame.Kind { return "load" }

// Check reports the first field that is out of its domain.
func (l *Load) Check() error {
	if l.Active < 0 || l.Queued < 0 || l.Pace < 0 || l.Near < 0 || l.Far < 0 {
		return errors.Newf("load: %d active, %d queued, pace %g, %d and %d entries: want none below 0", l.Active, l.Queued, l.Pace, l.Near, l.Far)
	}
	return nil
}

// urgent reports whether a change from l must be told at once: by all other fields
// an entry only weighs targets against each other.
func (l *Load) urgent(next *Load) bool {
	return l.Alive != next.Alive || l.Serving != next.Serving || l.Loading != next.Loading || !l.Born.Equal(next.Born)
}

func kinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &Load{} })
	return k
}

// Teller reads the engine and tells the entries that are connected. Set the
// exported fields before Run.
type Teller struct {
	Clock  clockwork.Clock
	Log    trail.Log
	Engine shelf.Engine
	// Zone is the side's own.
	Zone string
	// Noticed, when set, is called when the engine was seen to change in what decides
	// whether it can be used. It must not block.
	Noticed func()

	mu      sync.Mutex
	load    Load
	told    bool
	fails   int
	order   bool
	near    int
	far     int
	changed chan struct{}
}

// Announce tells the entries that the engine is about to load, or that its
// order has been given. What they send meanwhile would wait until the load has
// ended.
func (t *Teller) Announce(loading bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.order = loading
	if next := t.load; loading && !next.Loading {
		next.Loading = true
		t.tell(next)
	}
}

// Serving is the version that the engine serves; false before it has been read.
func (t *Teller) Serving() (uint64, bool) {
	l, told, _ := t.current()
	return l.Serving, told
}

// Handler serves the entries that connect.
func (t *Teller) Handler() link.Handler {
	return link.Handler{Kinds: kinds(), Serve: t.serve}
}

// Run reads the engine until ctx ends.
func (t *Teller) Run(ctx context.Context) error {
	for {
		t.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.Clock.After(t.pause()):
		}
	}
}

func (t *Teller) pause() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.load.Active+t.load.Queued == 0 && t.load.Alive && !t.load.Loading {
		return restEvery
	}
	// What is not told need not be read.
	return min(max(readEvery, t.interval()), mostReadEvery)
}

// interval is how far apart two reports to the same entry are at the least; it is
// called with the teller locked.
func (t *Teller) interval() time.Duration {
	return min(perEntry*time.Duration(t.near+t.far), repeatEvery)
}

func (t *Teller) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := t.Engine.Report(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	next := Load{Alive: true, Active: r.Active, Queued: r.Queued, Pace: r.Pace, Serving: r.Serving, Loading: r.Loading, Born: r.Born}
	if err != nil {
		t.fails++
		if t.fails < silentAfter {
			return
		}
		next = Load{}
	} else {
		t.fails = 0
	}
	next.Loading = next.Loading || t.order
	if next == t.load && t.told {
		return
	}
	if next.Alive != t.load.Alive || next.Serving != t.load.Serving || !t.told {
		t.note(next, err)
	}
	if t.Noticed != nil && t.load.urgent(&next) {
		t.Noticed()
	}
	t.tell(next)
}

// tell wakes those that serve entries; it is called with the teller locked.
func (t *Teller) tell(next Load) {
	t.load, t.told = next, true
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}

func (t *Teller) note(l Load, err error) {
	d := trail.Decision{Area: trail.AreaMember, Action: "engineAlive", Load: l.Active, Version: l.Serving}
	if !l.Alive {
		d.Action = "engineSilent"
	}
	if err != nil {
		d.Reason = err.Error()
	}
	t.Log.Decide(d)
}

func (t *Teller) current() (Load, bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	l := t.load
	l.Near, l.Far = t.near, t.far
	return l, t.told, t.changed
}

func (t *Teller) count(zone string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone == t.Zone {
		t.near += n
		return
	}
	t.far += n
}

// serve tells one entry until its connection ends.
func (t *Teller) serve(ctx context.Context, c *link.Conn) {
	t.count(c.Peer.VM.Zone, 1)
	defer t.count(c.Peer.VM.Zone, -1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// An entry sends nothing; this returns when the connection ends.
		_, _ = c.Receive()
		cancel()
	}()
	for ctx.Err() == nil {
		l, told, changed := t.current()
		if told {
			if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
				return
			}
			if c.Send(&l) != nil {
				return
			}
		}
		t.awaitNews(ctx, &l, changed)
	}
}

// awaitNews returns once there is something to tell an entry that was told l just
// now.
func (t *Teller) awaitNews(ctx context.Context, l *Load, changed <-chan struct{}) {
	repeat := t.Clock.After(repeatEvery)
	t.mu.Lock()
	interval := t.interval()
	t.mu.Unlock()
	rest := t.Clock.After(interval)
	rested, news := false, false
	for !rested || !news {
		select {
		case <-ctx.Done():
			return
		case <-repeat:
			return
		case <-rest:
			rested = true
		case <-changed:
			var next Load
			next, _, changed = t.current()
			news = true
			if l.urgent(&next) {
				return
			}
		}
	}
}
