package front

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// callerListener wraps accepted connections in callerConn.
type callerListener struct{ net.Listener }

// Accept returns the next caller's connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// callerConn sends a 408 response if a request header does not arrive within
// Limits.HeaderTimeout. net/http closes such a connection without a response, which the
// caller can't tell apart from a crash of the entry.
type callerConn struct {
	net.Conn
	// headerBegun is set from the first byte of a request header until the connection
	// is idle again, inRequest from the end of the header until then.
	headerBegun atomic.Bool
	inRequest   atomic.Bool
}

// headerTimeoutResponse is sent if a request header does not arrive in time.
const headerTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\n" +
	"Content-Type: " + problemMediaType + "\r\n" +
	headerOutcome + ": notRun\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.headerBegun.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.headerBegun.Load() && !c.inRequest.Load() {
		c.headerBegun.Store(false)
		_, _ = c.Conn.Write([]byte(headerTimeoutResponse))
	}
	return n, err
}

// trackConnState is the server's ConnState hook. It updates the flags of a callerConn.
func trackConnState(c net.Conn, s http.ConnState) {
	cc, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		cc.inRequest.Store(true)
	case http.StateIdle:
		cc.headerBegun.Store(false)
		cc.inRequest.Store(false)
	}
}
