package gate

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/io/conn/bound"
)

// Limits for connections to the target.
const (
	dialTimeout  = 2 * time.Second
	maxIdleConns = 64
	idleTimeout  = 30 * time.Second
)

// errNotReached marks a failure that happened before any byte could reach the target.
var errNotReached = errors.New("target not reached")

// newPooledTransport returns the transport for calls that may be repeated.
func newPooledTransport() bound.Transport {
	t := bound.NewTransport(net.Dialer{Timeout: dialTimeout})
	t.DialContext = markNotReached(t.DialContext)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout = maxIdleConns, idleTimeout
	t.DisableCompression = true
	return t
}

// newOnceTransport returns the transport for once-calls, which opens a connection for
// each call.
//
// http.Transport resends a request on its own if a reused connection breaks and the
// request looks repeatable to it: one with an Idempotency-Key, or one without a body.
// If the target ran the call before the connection broke, it would run it twice. As the
// transport does this only on reused connections, it never happens without reuse. This
// also avoids unknown outcomes if a target closes an idle connection just as a call is
// sent.
func newOnceTransport() bound.Transport {
	t := newPooledTransport()
	t.DisableKeepAlives = true
	return t
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// markNotReached marks the errors of dial with errNotReached.
func markNotReached(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, errors.Mark(err, errNotReached)
		}
		return c, nil
	}
}
