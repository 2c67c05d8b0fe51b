package demand

import (
	"time"

	"hawthornferry/core/request/level"
)

const (
	// lifetimeIntervals is for how many intervals a message counts: two may be lost or late
	// without an effect.
	lifetimeIntervals = 3
	// intervalPerReport is the interval between two messages of an entry for each report that
	// a collector holds, so that it gets at most two hundred messages a second.
	intervalPerReport = 5 * time.Millisecond
	// maxReports bounds the reports that a collector holds, about 300 bytes each. It is twice
	// the number of entries that the system is designed for.
	maxReports = 2000
)

// Intervals between two messages of an entry to a collector.
const (
	// MinInterval is the interval while capacity is short. A caller notices a share that is
	// wrong for more than some tenths of a second.
	MinInterval = 250 * time.Millisecond
	// IdleInterval is the interval otherwise. It is the span over which rates are measured.
	IdleInterval = time.Second
	// MaxInterval is the longest interval, that of a collector with maxReports.
	MaxInterval = maxReports * intervalPerReport
)

// Source is one connection of an entry. Conn distinguishes the connections of the same entry,
// of which the latest counts.
type Source struct {
	Entry string
	Conn  uint64
}

// Ledger holds the latest rates of each entry that is connected to a collector. Times are on a
// clock that keeps counting while the machine is suspended. The zero value is ready to use.
// It is not safe for concurrent use.
type Ledger struct {
	reports map[reportKey]report
}

type reportKey struct{ service, entry string }

type report struct {
	conn  uint64
	rates level.Rates
	until time.Duration
}

// Record records the rates of an entry, which sends them at the given interval. They are left
// out if the ledger is full.
func (l *Ledger) Record(now time.Duration, from Source, service string, r level.Rates, interval time.Duration) {
	if l.reports == nil {
		l.reports = map[reportKey]report{}
	}
	key := reportKey{service, from.Entry}
	if _, known := l.reports[key]; !known && len(l.reports) >= maxReports {
		return
	}
	l.reports[key] = report{conn: from.Conn, rates: r, until: now + lifetimeIntervals*interval}
}

// Forget removes what came over a connection that has ended.
func (l *Ledger) Forget(from Source) {
	for key, r := range l.reports {
		if key.entry == from.Entry && r.conn == from.Conn {
			delete(l.reports, key)
		}
	}
}

// Totals returns the sum over all entries whose rates are not too old, and the interval at
// which they are to send their rates.
func (l *Ledger) Totals(now time.Duration, service string) (level.Totals, time.Duration) {
	var t level.Totals
	for key, r := range l.reports {
		if now > r.until {
			delete(l.reports, key)
			continue
		}
		if key.service == service {
			t.Entries++
			t.Add(&r.rates)
		}
	}
	return t, max(MinInterval, intervalPerReport*time.Duration(len(l.reports)))
}
