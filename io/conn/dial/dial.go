// Package dial opens the connections on which responses are read.
package dial

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// With returns a function that opens connections with d, in the form that http.Transport takes.
func With(d net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc}, nil
	}
}

// conn is a connection whose end is distinguished from a reset. The system reports a reset once, to
// whichever of a read and a write comes first. If a write gets the report, what had arrived before
// can still be read, and then the end of the connection, as if the peer had closed it properly. A
// response that only the end of its connection ends would look complete.
type conn struct {
	net.Conn
	// mu is held during a write, so that a read that reaches the end waits for its result.
	mu sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. At the end of a connection on which a write has failed, it returns the
// error of that write. It waits for a write in progress.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return n, c.writeErr
	}
	return n, err
}
