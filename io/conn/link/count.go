package link

import (
	"net"
	"sync/atomic"

	"hawthornferry/core/process/fleet"
)

// Traffic counts the bytes of all connections of one purpose since the
// process started.
type Traffic struct {
	received atomic.Uint64
	sent     atomic.Uint64
}

// Received is the number of bytes that have come in.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Sent is the number of bytes that have gone out.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Totals is the traffic of a process, one for each purpose.
type Totals struct {
	calls   Traffic
	weights Traffic
	config  Traffic
	orders  Traffic
	abroad  Traffic
}

// Abroad is the traffic of calls whose other end lies in another region.
func (t *Totals) Abroad() *Traffic { return &t.abroad }

// Of returns the traffic of purpose p, nil for an unknown one.
func (t *Totals) Of(p Purpose) *Traffic {
	switch p {
	case PurposeCalls:
		return &t.calls
	case PurposeWeights:
		return &t.weights
	case PurposeConfig:
		return &t.config
	case PurposeOrders:
		return &t.orders
	}
	return nil
}

// Purposes lists every purpose of a connection.
func Purposes() []Purpose {
	return []Purpose{PurposeCalls, PurposeWeights, PurposeConfig, PurposeOrders, PurposeLoad, PurposeEditions, PurposeAlerts}
}

// counted counts the bytes of a connection, and adds them to the totals of
// its purpose once that is known.
type counted struct {
	net.Conn
	received atomic.Uint64
	sent     atomic.Uint64
	totals   atomic.Pointer[[]*Traffic]
}

// belong adds the connection to the totals that it counts towards, with the
// bytes of its Hellos.
func (c *counted) belong(self *Self, p Purpose, peer fleet.VM) {
	var totals []*Traffic
	if t := self.Totals.Of(p); t != nil {
		totals = append(totals, t)
	}
	if p == PurposeCalls && peer.Region != self.VM.Region {
		totals = append(totals, &self.Totals.abroad)
	}
	for _, t := range totals {
		t.received.Add(c.received.Load())
		t.sent.Add(c.sent.Load())
	}
	c.totals.Store(&totals)
}

// total lists what the connection counts towards, nothing before belong.
func (c *counted) total() []*Traffic {
	if p := c.totals.Load(); p != nil {
		return *p
	}
	return nil
}

// Read counts what was read.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	for _, t := range c.total() {
		t.received.Add(uint64(n))
	}
	return n, err
}

// Write counts what was written.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	for _, t := range c.total() {
		t.sent.Add(uint64(n))
	}
	return n, err
}

// Received is the number of bytes that have come in on the connection.
func (c *Conn) Received() uint64 { return c.nc.received.Load() }

// Sent is the number of bytes that have gone out on the connection.
func (c *Conn) Sent() uint64 { return c.nc.sent.Load() }
