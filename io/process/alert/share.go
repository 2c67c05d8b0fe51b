package alert

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/poison"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// Times and sizes of the exchange.
const (
	// batchEvery is how far apart two messages to a peer are at the least. As a target
	// ends, all that ran there breaks off within milliseconds.
	batchEvery = 50 * time.Millisecond
	// repeatEvery is how often a peer hears that there is no news, and silence after
	// how long without a word a connection is opened anew: one that went silent for
	// good shows by nothing else. A request that crashes targets comes again within
	// seconds.
	repeatEvery = 700 * time.Millisecond
	silence     = 3 * repeatEvery
	sendTimeout = time.Second
	dialTimeout = 500 * time.Millisecond
	redialAfter = 300 * time.Millisecond
	// maxNotes bounds one message.
	maxNotes = 256
	// hubLeast is from how many strikes on a hub tells of a request. A single one says
	// little, and there are many when targets end.
	hubLeast = 2
)

// alerts is what processes tell each other; without notes it says that there is no
// news.
type alerts struct {
	Notes []poison.Note `msgpack:"notes"`
}

// Kind names the message.
func (*alerts) Kind() frame.Kind { return "alerts" }

// Check reports the first field that is out of its domain.
func (a *alerts) Check() error {
	if len(a.Notes) > maxNotes {
		return errors.Newf("alerts: %d notes: want at most %d", len(a.Notes), maxNotes)
	}
	for i := range a.Notes {
		if err := a.Notes[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

func kinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &alerts{} })
	return k
}

// Handler serves the entries that connect. What comes from a hub is not told on: each
// entry is connected to all hubs.
func (r *Registry) Handler() link.Handler {
	return link.Handler{Kinds: kinds(), Serve: func(ctx context.Context, c *link.Conn) {
		// The entry opens the connection anew and writes down why.
		_ = r.exchange(ctx, c, fromPeer, hubLeast, fromLocal, fromPeer)
	}}
}

// Caller keeps an entry connected to the hubs. Set the exported fields before Run.
type Caller struct {
	Self     *link.Self
	Clock    clockwork.Clock
	Log      trail.Log
	Registry *Registry

	hubs link.Keeper
}

// Run keeps the connections until ctx ends.
func (c *Caller) Run(ctx context.Context) error {
	c.hubs.Keep = c.keep
	return c.hubs.Run(ctx)
}

// Want takes the hubs to be connected to from now on.
func (c *Caller) Want(hubs []netip.AddrPort) { c.hubs.Want(hubs) }

// keep holds a connection to one hub, and writes down when there is one and when there
// is none any more.
func (c *Caller) keep(ctx context.Context, hub netip.AddrPort) {
	last := hubLost
	for ctx.Err() == nil {
		err := c.once(ctx, hub, func() { c.note(&last, hubHeard, hub, nil) })
		if ctx.Err() == nil {
			c.note(&last, hubLost, hub, err)
		}
		select {
		case <-ctx.Done():
		case <-c.Clock.After(redialAfter):
		}
	}
}

// hubState is whether an entry has a connection to a hub; it is the action of its line.
type hubState string

const (
	hubHeard hubState = "alertsHeard"
	hubLost  hubState = "alertsLost"
)

func (c *Caller) note(last *hubState, now hubState, hub netip.AddrPort, err error) {
	if *last == now {
		return
	}
	*last = now
	d := trail.Decision{Area: trail.AreaMember, Action: string(now), Choice: hub.String()}
	if err != nil {
		d.Reason = err.Error()
	}
	c.Log.Decide(d)
}

func (c *Caller) once(ctx context.Context, hub netip.AddrPort, heard func()) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := link.Dial(dialCtx, c.Self, hub, link.PurposeAlerts, kinds())
	if err != nil {
		return err
	}
	defer conn.Close()
	heard()
	return c.Registry.exchange(ctx, conn, fromHub, 1, fromLocal)
}

// exchange takes what a peer tells, and tells it of the changes from the given sources,
// until the connection ends. It returns why that was.
func (r *Registry) exchange(ctx context.Context, c *link.Conn, from source, least int, wants ...source) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	p := r.subscribe(least, wants...)
	defer r.unsubscribe(p)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cancel(r.send(ctx, c, p))
	}()
	err := r.receive(c, from)
	cancel(err)
	<-done
	return context.Cause(ctx)
}

func (r *Registry) receive(c *link.Conn, from source) error {
	for {
		if err := c.SetReadDeadline(time.Now().Add(silence)); err != nil {
			return err
		}
		m, err := c.Receive()
		if err != nil {
			return err
		}
		if a, ok := m.(*alerts); ok {
			r.merge(from, c.Peer.VM.Name, a.Notes)
		}
	}
}

func (r *Registry) send(ctx context.Context, c *link.Conn, p *subscription) error {
	for {
		notes, more := r.drain(p)
		if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
			return err
		}
		if err := c.Send(&alerts{Notes: notes}); err != nil {
			return err
		}
		if more {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		case <-r.Clock.After(repeatEvery):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Clock.After(batchEvery):
		}
	}
}
