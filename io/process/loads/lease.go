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

// leaseRequest asks a side for permits to send requests to its engine, which is cold or has
// named a limit. AskedAt is on the entry's own clock; the reply returns it, so that the entry
// can tell how old that is. RateLimit is the limit that the engine has named to the entry. With
// a Want of 0, the entry tells that it has changed, and gets no reply.
type leaseRequest struct {
	AskedAt   time.Duration   `msgpack:"askedAt"`
	Want      int             `msgpack:"want"`
	RateLimit lease.RateLimit `msgpack:"rateLimit"`
}

// Kind returns the message's name in the protocol.
func (*leaseRequest) Kind() frame.Kind { return "leaseRequest" }

// Check returns an error if a number is out of range.
func (r *leaseRequest) Check() error {
	if r.Want < 0 || r.Want > maxWant {
		return errors.Newf("leaseRequest: %d permits, want 0 to %d", r.Want, maxWant)
	}
	return errors.Wrap(r.RateLimit.Check(), "leaseRequest")
}

// leaseGrant is the reply to a leaseRequest. NextIn is how long it takes until another permit
// can be granted, 0 if that is not known.
type leaseGrant struct {
	AskedAt time.Duration `msgpack:"askedAt"`
	Granted int           `msgpack:"granted"`
	NextIn  time.Duration `msgpack:"nextIn"`
}

// Kind returns the message's name in the protocol.
func (*leaseGrant) Kind() frame.Kind { return "leaseGrant" }

// Check returns an error if a number is out of range.
func (g *leaseGrant) Check() error {
	if g.Granted < 0 || g.Granted > maxWant || g.NextIn < 0 {
		return errors.Newf("leaseGrant: %d permits, others in %s: want 0 to %d, in no less than 0 s", g.Granted, g.NextIn, maxWant)
	}
	return nil
}

// grant answers an entry's request for permits.
func (p *Publisher) grant(c *link.Conn, r *leaseRequest) error {
	p.recordRateLimit(r)
	if r.Want == 0 {
		return nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	return c.Send(p.takePermits(r))
}

// recordRateLimit records the limit that the engine has named to an entry, and reports a
// change to all entries. What comes with a question for permits counts only if the side knows
// nothing: that entry may not have heard yet that the limit has changed.
func (p *Publisher) recordRateLimit(r *leaseRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := lease.RateReport{Known: true, Limit: r.RateLimit}
	if r.Want > 0 && p.rate.Known || r.Want > 0 && !r.RateLimit.Limited || next == p.rate {
		return
	}
	p.rate = next
	p.publish(p.load)
	d := trail.Decision{Area: trail.AreaAdmission, Action: trail.ActionRateLimitNamed, RateLimit: next.Limit.PerSecond}
	if !next.Limit.Limited {
		d.Action = trail.ActionRateLimitLifted
	}
	p.Log.Record(d)
}

// takePermits grants the permits that the limits on the engine's requests leave for r.
func (p *Publisher) takePermits(r *leaseRequest) *leaseGrant {
	g := &leaseGrant{AskedAt: r.AskedAt}
	coldLimit, known := p.ColdLimit()
	if !known {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := r.Want
	if coldLimit > 0 {
		n = p.ledger.Grant(p.Uptime(), n, coldLimit)
	}
	limit := r.RateLimit.Stricter(p.rate.Limit)
	g.Granted = p.bucket.Take(p.Uptime(), n, limit)
	g.NextIn = p.bucket.NextIn(limit)
	return g
}

// RequestLease asks a side for permits, without waiting for them, and tells it the limit that
// its engine has named. OnGrant is called with the permits that it grants.
func (l *Listener) RequestLease(side netip.AddrPort, want int, limit lease.RateLimit) {
	c := l.conn(side)
	if c == nil {
		return
	}
	go func() {
		err := c.SetWriteDeadline(time.Now().Add(sendTimeout))
		if err == nil {
			err = c.Send(&leaseRequest{AskedAt: l.Uptime(), Want: want, RateLimit: limit})
		}
		if err != nil {
			l.Log.Record(trail.Decision{Area: trail.AreaAdmission, Action: "leaseRequestFailed", Choice: side.String(), Reason: err.Error()})
		}
	}()
}

// receiveGrant passes on the permits of a grant that has not expired on its way.
func (l *Listener) receiveGrant(side netip.AddrPort, g *leaseGrant) {
	if left := lease.Lifetime - (l.Uptime() - g.AskedAt); left > 0 {
		now := l.Clock.Now()
		l.OnGrant(side, lease.Grant{N: g.Granted, Expires: now.Add(left), NextAt: now.Add(g.NextIn)})
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
