package gate

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds towards the target.
const (
	dialTimeout = 2 * time.Second
	idlePerHost = 64
	idleTimeout = 30 * time.Second
	maxHeader   = 64 << 10
)

// errDial marks a failure before any byte could reach the target.
var errDial = errors.New("target not reached")

// pooledTransport carries calls that may be repeated.
func pooledTransport() *http.Transport {
	return &http.Transport{
		DialContext:            dialTarget,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// onceTransport carries once-calls, each over a connection of its own.
//
// http.Transport sends a request again by itself when a reused connection
// breaks and the request looks repeatable to it: one with an Idempotency-Key,
// or without a body. A target that ran the call before the connection broke
// would run it twice. The transport does so only on reused connections, so
// without reuse it never happens. It also spares callers an unknown outcome
// whenever a target closes an idle connection just as a call goes out.
func onceTransport() *http.Transport {
	t := pooledTransport()
	t.DisableKeepAlives = true
	return t
}

func dialTarget(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	return c, nil
}
