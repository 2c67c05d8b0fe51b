package loads

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/lease"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// maxWant bounds how many permits one request may ask for.
const maxWant = 100

// leaseRequest asks a side for permits to send requests to its cold engine. AskedAt is on
// the entry's own clock; the reply returns it, so that the entry can tell how old that is.
type leaseRequest struct {
	AskedAt time.Duration `msgpack:"askedAt"`
	Want    int           `msgpack:"want"`
}

// Kind returns the message's name in the protocol.
func (*leaseRequest) Kind() frame.Kind { return "leaseRequest" }

// Check returns an error if the number of permits is out of range.
func (r *leaseRequest) Check() error {
	if r.Want < 1 || r.Want > maxWant {
		return errors.Newf("leaseRequest: %d permits, want 1 to %d", r.Want, maxWant)
	}
	return nil
}

// leaseGrant is the reply to a leaseRequest.
type leaseGrant struct {
	AskedAt time.Duration `msgpack:"askedAt"`
	Granted int           `msgpack:"granted"`
}

// Kind returns the message's name in the protocol.
func (*leaseGrant) Kind() frame.Kind { return "leaseGrant" }

// Check returns an error if the number of permits is out of range.
func (g *leaseGrant) Check() error {
	if g.Granted < 0 || g.Granted > maxWant {
		return errors.Newf("leaseGrant: %d permits, want 0 to %d", g.Granted, maxWant)
	}
	return nil
}

// grant answers an entry's request for permits.
func (p *Publisher) grant(c *link.Conn, r *leaseRequest) error {
	if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	return c.Send(&leaseGrant{AskedAt: r.AskedAt, Granted: p.takeFromLedger(r.Want)})
}

func (p *Publisher) takeFromLedger(want int) int {
	limit, known := p.ColdLimit()
	switch {
	case !known:
		return 0
	case limit == 0:
		return want
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Grant(p.Uptime(), want, limit)
}

// RequestLease asks a side for permits, without waiting for them. OnGrant is called with
// those that it grants.
func (l *Listener) RequestLease(side netip.AddrPort, want int) {
	c := l.conn(side)
	if c == nil {
		return
	}
	go func() {
		err := c.SetWriteDeadline(time.Now().Add(sendTimeout))
		if err == nil {
			err = c.Send(&leaseRequest{AskedAt: l.Uptime(), Want: want})
		}
		if err != nil {
			l.Log.Record(trail.Decision{Area: trail.AreaAdmission, Action: "leaseRequestFailed", Choice: side.String(), Reason: err.Error()})
		}
	}()
}

// receiveGrant passes on the permits of a grant that has not expired on its way.
func (l *Listener) receiveGrant(side netip.AddrPort, g *leaseGrant) {
	if left := lease.Lifetime - (l.Uptime() - g.AskedAt); left > 0 {
		l.OnGrant(side, g.Granted, l.Clock.Now().Add(left))
	}
}

// conn returns the connection to a side, nil if there is none.
func (l *Listener) conn(side netip.AddrPort) *link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[side]
}

func (l *Listener) setConn(side netip.AddrPort, c *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[netip.AddrPort]*link.Conn{}
	}
	l.conns[side] = c
}

func (l *Listener) removeConn(side netip.AddrPort, c *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[side] == c {
		delete(l.conns, side)
	}
}
