package link

import (
	"net"
	"sync/atomic"

	"hawthornferry/core/process/fleet"
)

// Traffic counts the bytes sent and received on a group of connections since the
// process started.
type Traffic struct {
	received atomic.Uint64
	sent     atomic.Uint64
}

// Received returns the number of bytes received.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Totals holds the traffic of a process for each purpose, and for calls across
// regions.
type Totals struct {
	calls       Traffic
	weights     Traffic
	config      Traffic
	orders      Traffic
	load        Traffic
	manifests   Traffic
	alerts      Traffic
	crossRegion Traffic
}

// CrossRegion returns the traffic of calls to and from peers in other regions. It is
// contained in that of PurposeCalls too.
func (t *Totals) CrossRegion() *Traffic { return &t.crossRegion }

// ByPurpose returns the traffic of purpose p, or nil for an unknown one.
func (t *Totals) ByPurpose(p Purpose) *Traffic {
	switch p {
	case PurposeCalls:
		return &t.calls
	case PurposeWeights:
		return &t.weights
	case PurposeConfig:
		return &t.config
	case PurposeOrders:
		return &t.orders
	case PurposeLoad:
		return &t.load
	case PurposeManifests:
		return &t.manifests
	case PurposeAlerts:
		return &t.alerts
	}
	return nil
}

// Purposes returns every valid purpose of a connection.
func Purposes() []Purpose {
	return []Purpose{PurposeCalls, PurposeWeights, PurposeConfig, PurposeOrders, PurposeLoad, PurposeManifests, PurposeAlerts}
}

// countingConn counts the bytes sent and received on a connection. Once the peer's
// Hello has been read it adds them to the process's totals too.
type countingConn struct {
	net.Conn
	received atomic.Uint64
	sent     atomic.Uint64
	totals   atomic.Pointer[[]*Traffic]
}

// addToTotals selects the totals that the connection counts towards and adds the
// bytes counted so far, those of the Hellos, to them.
func (c *countingConn) addToTotals(self *Self, p Purpose, peer fleet.VM) {
	var totals []*Traffic
	if t := self.Totals.ByPurpose(p); t != nil {
		totals = append(totals, t)
	}
	if p == PurposeCalls && peer.Region != self.VM.Region {
		totals = append(totals, &self.Totals.crossRegion)
	}
	for _, t := range totals {
		t.received.Add(c.received.Load())
		t.sent.Add(c.sent.Load())
	}
	c.totals.Store(&totals)
}

// currentTotals returns the totals that the connection counts towards; none before
// addToTotals.
func (c *countingConn) currentTotals() []*Traffic {
	if p := c.totals.Load(); p != nil {
		return *p
	}
	return nil
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	for _, t := range c.currentTotals() {
		t.received.Add(uint64(n))
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	for _, t := range c.currentTotals() {
		t.sent.Add(uint64(n))
	}
	return n, err
}

// Received returns the number of bytes received on the connection.
func (c *Conn) Received() uint64 { return c.nc.received.Load() }

// Sent returns the number of bytes sent on the connection.
func (c *Conn) Sent() uint64 { return c.nc.sent.Load() }
