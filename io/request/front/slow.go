package front

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// callerListener accepts callers whose slow headers get an answer.
type callerListener struct{ net.Listener }

// Accept returns the next caller's connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// callerConn tells a caller whose header did not come in time that it was too
// slow. net/http closes such a connection without a word, which a caller
// cannot tell from a crash of the entry.
type callerConn struct {
	net.Conn
	// begun is set from the first byte of a header, handled from its end to
	// the end of the answer.
	begun   atomic.Bool
	handled atomic.Bool
}

// slowHeader is sent to a caller whose header did not come in time.
const slowHeader = "HTTP/1.1 408 Request Timeout\r\n" +
	"Content-Type: " + problemMedia + "\r\n" +
	headerOutcome + ": notRun\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Read reads from the caller.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.begun.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.begun.Load() && !c.handled.Load() {
		c.begun.Store(false)
		_, _ = c.Conn.Write([]byte(slowHeader))
	}
	return n, err
}

// track follows the states of a caller's connection.
func track(c net.Conn, s http.ConnState) {
	cc, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		cc.handled.Store(true)
	case http.StateIdle:
		cc.begun.Store(false)
		cc.handled.Store(false)
	}
}
