package loads

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/demand"
	"hawthornferry/core/request/level"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// maxServiceName bounds the length of the name of a service, in bytes.
const maxServiceName = 256

// errInvalid marks errors of messages with values out of range.
var errInvalid = errors.New("invalid message")

// priorityRates holds the rates of one priority. It is a list in messages, which is a third as
// long as a map with names. Rates need no more precision than 32 bits.
type priorityRates struct {
	Priority int
	Offered  float32
	Placed   float32
	Crowded  float32
}

// priorityRatesLen is the length of the list for a priorityRates.
const priorityRatesLen = 4

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r priorityRates) EncodeMsgpack(enc *msgpack.Encoder) error {
	if err := enc.EncodeArrayLen(priorityRatesLen); err != nil {
		return err
	}
	return enc.EncodeMulti(r.Priority, r.Offered, r.Placed, r.Crowded)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *priorityRates) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != priorityRatesLen {
		return errors.Newf("rates of a priority have %d elements, want %d", n, priorityRatesLen)
	}
	return dec.DecodeMulti(&r.Priority, &r.Offered, &r.Placed, &r.Crowded)
}

// rateList is the form of level.Rates in messages. Priorities without requests are left out.
type rateList []priorityRates

func newRateList(r *level.Rates) rateList {
	var out rateList
	for p := range level.Priorities {
		row := priorityRates{Priority: p, Offered: float32(r.Offered[p]), Placed: float32(r.Placed[p]), Crowded: float32(r.Crowded[p])}
		if row.Offered != 0 || row.Placed != 0 || row.Crowded != 0 {
			out = append(out, row)
		}
	}
	return out
}

// rates returns the rates of a list that Check has accepted.
func (l rateList) rates() level.Rates {
	var r level.Rates
	for _, row := range l {
		r.Offered[row.Priority], r.Placed[row.Priority], r.Crowded[row.Priority] = float64(row.Offered), float64(row.Placed), float64(row.Crowded)
	}
	return r
}

// check returns an error if a priority is unknown or a rate is out of range.
func (l rateList) check() error {
	if len(l) > level.Priorities {
		return errors.Newf("rates of %d priorities, want at most %d", len(l), level.Priorities)
	}
	for _, row := range l {
		if row.Priority < 0 || row.Priority >= level.Priorities {
			return errors.Newf("rates of priority %d, want 0 to %d", row.Priority, level.Priorities-1)
		}
	}
	r := l.rates()
	return r.Check()
}

// demandReport tells a collector the rates of one entry. Seq is returned in the reply.
// IntervalMS is the time until the next one, in milliseconds. DemandOnly is set if the entry
// needs no load reports of the side: they then only show that the connection is alive.
type demandReport struct {
	Service    string   `msgpack:"service"`
	Rates      rateList `msgpack:"rates"`
	Seq        uint64   `msgpack:"seq"`
	IntervalMS int      `msgpack:"intervalMs"`
	DemandOnly bool     `msgpack:"demandOnly,omitempty"`
}

// Kind returns the message's name in the protocol.
func (*demandReport) Kind() frame.Kind { return "demand" }

// Check returns an error if a value is out of range.
func (d *demandReport) Check() error {
	return checkDemand(string(d.Kind()), d.Service, d.IntervalMS, d.Rates)
}

// demandTotals is the reply to a demandReport: the sum of the latest rates of the given number
// of entries. IntervalMS is the least time between two messages of an entry to the collector,
// in milliseconds.
type demandTotals struct {
	Service    string   `msgpack:"service"`
	Entries    int      `msgpack:"entries"`
	Rates      rateList `msgpack:"rates"`
	Seq        uint64   `msgpack:"seq"`
	IntervalMS int      `msgpack:"intervalMs"`
}

// Kind returns the message's name in the protocol.
func (*demandTotals) Kind() frame.Kind { return "demandTotals" }

// Check returns an error if a value is out of range.
func (d *demandTotals) Check() error {
	if d.Entries < 0 {
		return errors.Mark(errors.Newf("%s: %d entries, want none below 0", d.Kind(), d.Entries), errInvalid)
	}
	return checkDemand(string(d.Kind()), d.Service, d.IntervalMS, d.Rates)
}

func checkDemand(kind, service string, intervalMS int, rates rateList) error {
	err := rates.check()
	switch most := int(demand.MaxInterval / time.Millisecond); {
	case service == "" || len(service) > maxServiceName:
		err = errors.Newf("name of the service has %d bytes, want 1 to %d", len(service), maxServiceName)
	case intervalMS <= 0 || intervalMS > most:
		err = errors.Newf("interval of %d ms, want 1 to %d", intervalMS, most)
	}
	return errors.Mark(errors.Wrap(err, kind), errInvalid)
}

func milliseconds(d time.Duration) int { return int(d / time.Millisecond) }

// recordDemand records the rates of an entry and returns the sum over all entries.
func (p *Publisher) recordDemand(from demand.Source, d *demandReport) *demandTotals {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Uptime()
	p.demands.Record(now, from, d.Service, d.Rates.rates(), time.Duration(d.IntervalMS)*time.Millisecond)
	t, interval := p.demands.Totals(now, d.Service)
	return &demandTotals{Service: d.Service, Entries: t.Entries, Rates: newRateList(&t.Rates), Seq: d.Seq, IntervalMS: milliseconds(interval)}
}

// addSource returns the source of the demand that arrives over a new connection.
func (p *Publisher) addSource(c *link.Conn) demand.Source {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections++
	return demand.Source{Entry: c.Peer.VM.Name, Conn: p.connections}
}

func (p *Publisher) removeSource(from demand.Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demands.Forget(from)
}

// logInvalid logs a message with values out of range, for which the connection is closed.
func (p *Publisher) logInvalid(from demand.Source, err error) {
	if errors.Is(err, errInvalid) {
		p.Log.Record(trail.Decision{Area: trail.AreaAdmission, Action: "demandRejected", Choice: from.Entry, Reason: err.Error()})
	}
}

// Demand is the demand of this entry for a service, for one of the service's collectors. See
// demandReport.
type Demand struct {
	Service    string
	Rates      level.Rates
	Seq        uint64
	Interval   time.Duration
	DemandOnly bool
}

// Totals is the reply of a collector to the Demand with the same Seq. Interval is that at
// which the collector wants to be told.
type Totals struct {
	Service  string
	Totals   level.Totals
	Seq      uint64
	Interval time.Duration
}

// Connected reports whether there is a connection to a side.
func (l *Listener) Connected(side netip.AddrPort) bool { return l.conn(side) != nil }

// SendDemand tells a collector this entry's demand, without waiting for the reply. OnTotals
// is called with that.
func (l *Listener) SendDemand(side netip.AddrPort, d Demand) {
	c := l.conn(side)
	if c == nil {
		return
	}
	m := &demandReport{
		Service: d.Service, Rates: newRateList(&d.Rates), Seq: d.Seq, IntervalMS: milliseconds(d.Interval), DemandOnly: d.DemandOnly,
	}
	go func() {
		err := c.SetWriteDeadline(time.Now().Add(sendTimeout))
		if err == nil {
			err = c.Send(m)
		}
		if err != nil {
			// The collector counts this entry no longer, and a part of a message may have
			// been sent.
			c.Close()
		}
	}()
}

func (l *Listener) receiveTotals(side netip.AddrPort, d *demandTotals) {
	l.OnTotals(side, Totals{
		Service: d.Service, Totals: level.Totals{Entries: d.Entries, Rates: d.Rates.rates()}, Seq: d.Seq,
		Interval: time.Duration(d.IntervalMS) * time.Millisecond,
	})
}
