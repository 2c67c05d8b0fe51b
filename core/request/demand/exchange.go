package demand

import (
	"net/netip"
	"slices"
	"time"

	"hawthornferry/core/request/level"
)

const (
	// pressureMemory is for how long after the last sign of a shortage entries tell their rates
	// at MinInterval, so that the level follows the end of a shortage as fast as its beginning.
	pressureMemory = 2 * time.Second
	// minLifetime is the least time for which totals count. Entries that use their own rates
	// in its place for a moment would change the level at each lost message.
	minLifetime = time.Second
	// pendingMessages is how many messages may be under way to a collector. A reply to an older
	// one, several seconds later, is worthless.
	pendingMessages = 16
)

// Exchange is what an entry knows of the collectors. Times are on a clock that keeps counting
// while the machine is suspended. The zero value is ready to use. It is not safe for
// concurrent use.
type Exchange struct {
	services map[string]*service
}

type service struct {
	collectors    []*collector
	pressureUntil time.Duration
}

// collector is what an entry knows of one collector of a service.
type collector struct {
	side netip.AddrPort
	// seq is the number of the last message, sentAt when the last ones were sent, by their
	// number modulo pendingMessages.
	seq    uint64
	sentAt [pendingMessages]time.Duration
	// asked is the interval that the collector asks for.
	asked time.Duration
	reply Reply
	known bool
}

// Message says that a collector is to be told the rates of a service now.
type Message struct {
	Side     netip.AddrPort
	Seq      uint64
	Interval time.Duration
}

// Reply holds totals with the time at which the message that they answer was sent, and until
// when they count.
type Reply struct {
	Totals level.Totals
	AsOf   time.Duration
	Until  time.Duration
}

// SetCollectors sets the collectors of each service whose demand is to be told.
func (x *Exchange) SetCollectors(sides map[string][]netip.AddrPort) {
	next := map[string]*service{}
	for name, all := range sides {
		old := x.services[name]
		if old == nil {
			old = &service{}
		}
		next[name] = &service{pressureUntil: old.pressureUntil}
		for _, side := range all {
			c := old.collector(side)
			if c == nil {
				c = &collector{side: side}
			}
			next[name].collectors = append(next[name].collectors, c)
		}
	}
	x.services = next
}

func (s *service) collector(side netip.AddrPort) *collector {
	i := slices.IndexFunc(s.collectors, func(c *collector) bool { return c.side == side })
	if i < 0 {
		return nil
	}
	return s.collectors[i]
}

// Active reports whether the demand for any service is to be told.
func (x *Exchange) Active() bool { return len(x.services) > 0 }

// Due returns the messages to be sent now about a service of which the entry has the given
// rates. inForce says whether the level holds requests back. connected reports whether there
// is a connection to a side.
func (x *Exchange) Due(now time.Duration, name string, own *level.Rates, inForce bool, connected func(netip.AddrPort) bool) []Message {
	s := x.services[name]
	if s == nil {
		return nil
	}
	best, known := s.best(now)
	if inForce || isCrowded(own) || known && isCrowded(&best.Totals.Rates) {
		s.pressureUntil = now + pressureMemory
	}
	var out []Message
	for _, c := range s.collectors {
		interval := s.interval(now, c)
		if c.seq > 0 && now < c.lastSent()+interval || !connected(c.side) {
			continue
		}
		c.seq++
		c.sentAt[c.seq%pendingMessages] = now
		out = append(out, Message{Side: c.side, Seq: c.seq, Interval: interval})
	}
	return out
}

func (c *collector) lastSent() time.Duration { return c.sentAt[c.seq%pendingMessages] }

// interval returns the interval between two messages to a collector.
func (s *service) interval(now time.Duration, c *collector) time.Duration {
	interval := IdleInterval
	if now < s.pressureUntil {
		interval = MinInterval
	}
	return max(interval, c.asked)
}

// isCrowded reports whether requests were refused for lack of capacity.
func isCrowded(r *level.Rates) bool {
	return slices.ContainsFunc(r.Crowded[:], func(v float64) bool { return v > 0 })
}

// Receive records a collector's reply to the message with the given number, and returns the
// totals that count from now on. It returns false if there are none.
func (x *Exchange) Receive(now time.Duration, name string, side netip.AddrPort, seq uint64, t level.Totals, asked time.Duration) (Reply, bool) {
	s := x.services[name]
	if s == nil {
		return Reply{}, false
	}
	c := s.collector(side)
	if c == nil || seq == 0 || seq > c.seq || c.seq-seq >= pendingMessages {
		return Reply{}, false
	}
	sentAt := c.sentAt[seq%pendingMessages]
	if c.known && sentAt < c.reply.AsOf {
		return s.best(now)
	}
	c.asked = asked
	lifetime := max(minLifetime, lifetimeIntervals*s.interval(now, c))
	c.reply, c.known = Reply{Totals: t, AsOf: sentAt, Until: sentAt + lifetime}, true
	return s.best(now)
}

// best returns the totals with the most entries, the newest of several: a collector that is
// cut off from some entries knows only a part of the demand.
func (s *service) best(now time.Duration) (Reply, bool) {
	var best Reply
	found := false
	for _, c := range s.collectors {
		if !c.known || now > c.reply.Until {
			continue
		}
		r := c.reply
		if !found || r.Totals.Entries > best.Totals.Entries || r.Totals.Entries == best.Totals.Entries && r.AsOf > best.AsOf {
			best, found = r, true
		}
	}
	return best, found
}
