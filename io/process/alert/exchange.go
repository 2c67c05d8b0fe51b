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
	// batchInterval is the minimum time between two messages to a peer. When a target ends,
	// all its requests break off within milliseconds.
	batchInterval = 50 * time.Millisecond
	// heartbeatInterval is how often a message is sent without news, and readTimeout is the
	// time without any message after which a connection is closed and dialled again; a
	// dead connection can't be detected otherwise. It must be short, since a request that
	// crashes targets is retried within seconds.
	heartbeatInterval = 700 * time.Millisecond
	readTimeout       = 3 * heartbeatInterval
	sendTimeout       = time.Second
	dialTimeout       = 500 * time.Millisecond
	redialDelay       = 300 * time.Millisecond
	// maxNotes limits the notes in one message, of requests and of parts each.
	maxNotes = 256
	// hubMinFailures is the number of failures from which on a hub reports a request or a
	// part. A single failure says little, and there are many when targets end.
	hubMinFailures = 2
)

// alertMessage is the message of the exchange. Without notes it is a heartbeat.
type alertMessage struct {
	Notes     []poison.Note[poison.Fingerprint] `msgpack:"notes"`
	PartNotes []poison.Note[poison.PartID]      `msgpack:"partNotes,omitempty"`
}

// Kind returns the message's name in the protocol.
func (*alertMessage) Kind() frame.Kind { return "alerts" }

// Check returns an error for the first invalid field.
func (a *alertMessage) Check() error {
	if err := checkNotes(a.Notes); err != nil {
		return err
	}
	for _, n := range a.PartNotes {
		if err := n.Subject.Check(); err != nil {
			return err
		}
	}
	return checkNotes(a.PartNotes)
}

func checkNotes[K comparable](notes []poison.Note[K]) error {
	if len(notes) > maxNotes {
		return errors.Newf("alerts: %d notes: want at most %d", len(notes), maxNotes)
	}
	for i := range notes {
		if err := notes[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

func kinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &alertMessage{} })
	return k
}

// Handler returns the handler for entries that connect to this process as their hub. What
// this process learns from a hub of its own is not relayed, since each entry is connected to
// all hubs.
func (r *Registry) Handler() link.Handler {
	return link.Handler{Kinds: kinds(), Serve: func(ctx context.Context, c *link.Conn) {
		// The entry dials again and logs the reason.
		_ = r.exchange(ctx, c, fromPeer, hubMinFailures, fromLocal, fromPeer)
	}}
}

// HubClient keeps an entry connected to the hubs. Set the exported fields before Run.
type HubClient struct {
	Self     *link.Self
	Clock    clockwork.Clock
	Log      trail.Log
	Registry *Registry

	hubs link.PeerRunner
}

// Run maintains the connections until ctx ends.
func (c *HubClient) Run(ctx context.Context) error {
	c.hubs.Serve = c.maintain
	return c.hubs.Run(ctx)
}

// SetHubs sets the hubs to be connected to from now on.
func (c *HubClient) SetHubs(hubs []netip.AddrPort) { c.hubs.SetPeers(hubs) }

// maintain keeps a connection to one hub, and logs when it is established and lost.
func (c *HubClient) maintain(ctx context.Context, hub netip.AddrPort) {
	last := hubDisconnected
	for ctx.Err() == nil {
		err := c.connect(ctx, hub, func() { c.logState(&last, hubConnected, hub, nil) })
		if ctx.Err() == nil {
			c.logState(&last, hubDisconnected, hub, err)
		}
		select {
		case <-ctx.Done():
		case <-c.Clock.After(redialDelay):
		}
	}
}

// hubState is whether an entry is connected to a hub. Its value is the action of the log
// record.
type hubState string

const (
	hubConnected    hubState = "alertsHeard"
	hubDisconnected hubState = "alertsLost"
)

func (c *HubClient) logState(last *hubState, now hubState, hub netip.AddrPort, err error) {
	if *last == now {
		return
	}
	*last = now
	d := trail.Decision{Area: trail.AreaMember, Action: string(now), Choice: hub.String()}
	if err != nil {
		d.Reason = err.Error()
	}
	c.Log.Record(d)
}

func (c *HubClient) connect(ctx context.Context, hub netip.AddrPort, connected func()) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := link.Dial(dialCtx, c.Self, hub, link.PurposeAlerts, kinds())
	if err != nil {
		return err
	}
	defer conn.Close()
	connected()
	return c.Registry.exchange(ctx, conn, fromHub, 1, fromLocal)
}

// exchange merges the notes that a peer sends, and sends it the changes from the given
// sources, until the connection ends. It returns the reason for the end.
func (r *Registry) exchange(ctx context.Context, c *link.Conn, from source, minFailures int, sources ...source) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	sub := r.subscribe(minFailures, sources...)
	defer r.unsubscribe(sub)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cancel(r.send(ctx, c, sub))
	}()
	err := r.receive(c, from)
	cancel(err)
	<-done
	return context.Cause(ctx)
}

func (r *Registry) receive(c *link.Conn, from source) error {
	for {
		if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return err
		}
		m, err := c.Receive()
		if err != nil {
			return err
		}
		if a, ok := m.(*alertMessage); ok {
			r.merge(from, c.Peer.VM.Name, a)
		}
	}
}

func (r *Registry) send(ctx context.Context, c *link.Conn, sub *subscription) error {
	for {
		message, more := r.takeNotes(sub)
		if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
			return err
		}
		if err := c.Send(message); err != nil {
			return err
		}
		if more {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.wake:
		case <-r.Clock.After(heartbeatInterval):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Clock.After(batchInterval):
		}
	}
}
