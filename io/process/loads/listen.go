package loads

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/lease"
	"hawthornferry/io/conn/link"
)

// Timeouts of a listener.
const (
	dialTimeout = 500 * time.Millisecond
	redialDelay = 300 * time.Millisecond
	// receiveTimeout is the time without a report after which a connection is closed
	// and dialled again; a dead connection can't be detected otherwise.
	receiveTimeout = 3 * heartbeatInterval
)

// Listener connects an entry to the sides of engines and receives their load reports. Set
// the exported fields before Run.
type Listener struct {
	Self  *link.Self
	Clock clockwork.Clock
	Log   trail.Log
	// OnLoad is called with each report of the side at addr. It must not block.
	OnLoad func(addr netip.AddrPort, l Load)
	// OnGrant is called with permits that the side at addr has granted. It must not block.
	OnGrant func(addr netip.AddrPort, g lease.Grant)
	// OnTotals is called with the demand of all entries for a service, as the collector at
	// addr knows it. It must not block.
	OnTotals func(addr netip.AddrPort, t Totals)
	// Uptime is a clock that keeps counting while the machine is suspended.
	Uptime func() time.Duration

	sides link.PeerRunner
	mu    sync.Mutex
	conns map[netip.AddrPort]*link.Conn
}

// Run maintains the connections until ctx ends.
func (l *Listener) Run(ctx context.Context) error {
	l.sides.Serve = l.maintain
	return l.sides.Run(ctx)
}

// SetSides sets the sides to be connected to from now on.
func (l *Listener) SetSides(addrs []netip.AddrPort) { l.sides.SetPeers(addrs) }

// maintain keeps a connection to one side, and logs when its first report arrives and when
// the connection is lost.
func (l *Listener) maintain(ctx context.Context, addr netip.AddrPort) {
	var last state
	for ctx.Err() == nil {
		err := l.receive(ctx, addr, func() { l.logState(&last, stateReceiving, addr, nil) })
		if ctx.Err() == nil {
			l.logState(&last, stateLost, addr, err)
		}
		select {
		case <-ctx.Done():
		case <-l.Clock.After(redialDelay):
		}
	}
}

// state is whether reports of a side arrive. Its value is the action of the log record.
type state string

// The states of a side.
const (
	stateReceiving state = "sideHeard"
	stateLost      state = "sideLost"
)

func (l *Listener) logState(last *state, now state, addr netip.AddrPort, err error) {
	if *last == now {
		return
	}
	*last = now
	d := trail.Decision{Area: trail.AreaMember, Action: string(now), Choice: addr.String(), Revision: l.Self.Revision.Load()}
	if err != nil {
		d.Reason = err.Error()
	}
	l.Log.Record(d)
}

// receive dials a side and passes on its reports. It returns why the connection ended.
func (l *Listener) receive(ctx context.Context, addr netip.AddrPort, received func()) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := link.Dial(dialCtx, l.Self, addr, link.PurposeLoad, kinds())
	if err != nil {
		// The side may not have started yet, or be gone. Without its reports the entry
		// counts only its own requests.
		return err
	}
	defer c.Close()
	l.setConn(addr, c)
	defer l.removeConn(addr, c)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	for {
		if err := c.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
			return err
		}
		m, err := c.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *Load:
			received()
			l.OnLoad(addr, *m)
		case *leaseGrant:
			l.receiveGrant(addr, m)
		case *demandTotals:
			l.receiveTotals(addr, m)
		}
	}
}
