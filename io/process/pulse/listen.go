package pulse

import (
	"context"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/link"
)

// Times of a listener.
const (
	dialTimeout = 500 * time.Millisecond
	redialAfter = 300 * time.Millisecond
	// silence is after how long without a word a connection is opened anew:
	// one that went silent for good shows by nothing else.
	silence = 3 * repeatEvery
)

// Listener hears the sides of engines. Set the exported fields before Run.
type Listener struct {
	Self  *link.Self
	Clock clockwork.Clock
	Log   trail.Log
	// Heard is told what the side at addr says. It must not block.
	Heard func(addr netip.AddrPort, l Load)

	sides link.Keeper
}

// Run keeps the connections until ctx ends.
func (l *Listener) Run(ctx context.Context) error {
	l.sides.Keep = l.hear
	return l.sides.Run(ctx)
}

// Want takes the sides to hear from now on.
func (l *Listener) Want(addrs []netip.AddrPort) { l.sides.Want(addrs) }

// hear keeps one connection, and writes down when its side is heard and when it
// is not any more.
func (l *Listener) hear(ctx context.Context, addr netip.AddrPort) {
	var last state
	for ctx.Err() == nil {
		err := l.hearOnce(ctx, addr, func() { l.note(&last, stateHeard, addr, nil) })
		if ctx.Err() == nil {
			l.note(&last, stateLost, addr, err)
		}
		select {
		case <-ctx.Done():
		case <-l.Clock.After(redialAfter):
		}
	}
}

// state is whether a side is heard.
type state string

// The states of a side, which are the actions of their lines.
const (
	stateHeard state = "sideHeard"
	stateLost  state = "sideLost"
)

func (l *Listener) note(last *state, now state, addr netip.AddrPort, err error) {
	if *last == now {
		return
	}
	*last = now
	d := trail.Decision{Area: trail.AreaMember, Action: string(now), Choice: addr.String(), Revision: l.Self.Revision.Load()}
	if err != nil {
		d.Reason = err.Error()
	}
	l.Log.Decide(d)
}

// hearOnce takes what one connection brings, and returns why it ended.
func (l *Listener) hearOnce(ctx context.Context, addr netip.AddrPort, heard func()) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := link.Dial(dialCtx, l.Self, addr, link.PurposeLoad, kinds())
	if err != nil {
		// The side may not have started, or be gone; without its reports the
		// entry goes by its own requests.
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	for {
		if err := c.SetReadDeadline(time.Now().Add(silence)); err != nil {
			return err
		}
		m, err := c.Receive()
		if err != nil {
			return err
		}
		if load, ok := m.(*Load); ok {
			heard()
			l.Heard(addr, *load)
		}
	}
}
