package link

import (
	"net"
	"sync/atomic"
)

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	received atomic.Uint64
	sent     atomic.Uint64
}

// Read counts what was read.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	return n, err
}

// Write counts what was written.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	return n, err
}

// Received is the number of bytes that have come in on the connection.
func (c *Conn) Received() uint64 { return c.nc.received.Load() }

// Sent is the number of bytes that have gone out on the connection.
func (c *Conn) Sent() uint64 { return c.nc.sent.Load() }
