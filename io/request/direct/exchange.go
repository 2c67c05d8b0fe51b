package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/request/space"
	"hawthornferry/core/request/table"
	"hawthornferry/io/conn/bound"
	"hawthornferry/io/conn/dial"
)

// readBuffer is the size in bytes of the buffers for requests and responses.
const readBuffer = 4 << 10

// connector opens a new connection to a target for each request. A kept connection
// could deliver a late second response, or bytes after a response, that would be taken
// for the next response; and if it had silently died, it would swallow a request that
// may not be sent twice. A new connection costs a target a millisecond.
type connector struct {
	clock     clockwork.Clock
	dialTimes dialTimes
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
}

func newConnector(clock clockwork.Clock) *connector {
	return &connector{clock: clock, dialTimes: dialTimes{clock: clock}, dial: dial.With(net.Dialer{})}
}

// exchange is one request to one target over its own connection, with the response.
type exchange struct {
	conn net.Conn
	resp *http.Response
	// target is the target as it was listed, and openedAt when the connection was open,
	// before the request was sent.
	target   facts.Target
	openedAt time.Time
	// stopAfterFunc stops the function that closes conn when the context ends.
	stopAfterFunc func() bool
	// closed is closed by close.
	closed    chan struct{}
	closeOnce sync.Once
	// abortErr is the reason if the entry itself aborted the exchange.
	abortErr atomic.Pointer[error]
}

// abort closes the connection and records why.
func (x *exchange) abort(cause error) {
	x.abortErr.Store(&cause)
	x.conn.Close()
}

// abortReason returns why the entry aborted the exchange, nil if it did not.
func (x *exchange) abortReason() error {
	if cause := x.abortErr.Load(); cause != nil {
		return *cause
	}
	return nil
}

// close ends the exchange. A target stops its work when the connection closes.
func (x *exchange) close() {
	x.closeOnce.Do(func() { close(x.closed) })
	x.stopAfterFunc()
	x.conn.Close()
}

// endsWithConnection reports whether only the end of the connection ends the response, so that
// one that a crash cuts off may look complete.
func (x *exchange) endsWithConnection() bool {
	return x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0
}

// streamItem is an event of a stream, or the error with which the stream ended.
type streamItem struct {
	event event
	err   error
}

// readEvents reads the events of the response in the background and sends them on the
// returned channel, until the response ends or the exchange is closed. Memory for large events
// is taken from the given budget.
func (x *exchange) readEvents(memory *space.Budget) <-chan streamItem {
	out := make(chan streamItem)
	in := eventReader{in: bufio.NewReaderSize(x.resp.Body, readBuffer), hold: space.Hold{Budget: memory}}
	go func() {
		defer in.release()
		for {
			e, err := in.next()
			select {
			case out <- streamItem{e, err}:
				in.deliver()
			case <-x.closed:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return out
}

// connect opens a connection to a target. After an error, the target has not seen the
// request. The connection is closed when ctx ends.
func (c *connector) connect(ctx context.Context, t facts.Target) (*exchange, error) {
	conn, err := c.dialTarget(ctx, t)
	if err != nil {
		return nil, operr.Wrap("connect to target", t.Address.String(), err)
	}
	x := &exchange{conn: conn, target: t, openedAt: c.clock.Now(), closed: make(chan struct{})}
	x.stopAfterFunc = context.AfterFunc(ctx, func() { conn.Close() })
	return x, nil
}

// dialTarget opens a connection to a target. A timeout that fires late shows that this
// process did not run meanwhile, and says nothing about the target, which is then tried again.
func (c *connector) dialTarget(ctx context.Context, t facts.Target) (net.Conn, error) {
	for dials := 1; ; dials++ {
		timeout := c.dialTimes.timeout(t.Zone)
		began := c.clock.Now()
		conn, err := c.dialOnce(ctx, t, timeout)
		took := c.clock.Since(began)
		if err == nil {
			c.dialTimes.record(t.Zone, took)
			return conn, nil
		}
		late := os.IsTimeout(err) && took > timeout+maxTimerDelay
		if !late || dials == maxDials || ctx.Err() != nil {
			return nil, err
		}
	}
}

func (c *connector) dialOnce(ctx context.Context, t facts.Target, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.dial(ctx, "tcp", t.Address.String())
}

// roundTrip writes req, which is q as its target gets it, and reads the head of the response. A
// target may respond and reset the connection before it has read a long body. A write error is
// therefore ignored if there is a response; if that has no other end than the connection's, reading
// its body to the end fails.
func (x *exchange) roundTrip(req *http.Request, q *request) error {
	req.Body = io.NopCloser(bytes.NewReader(q.body))
	req.ContentLength = int64(len(q.body))
	if len(q.body) == 0 {
		req.Body = http.NoBody
	}
	w := bufio.NewWriterSize(x.conn, readBuffer)
	writeErr := writeRequest(w, req, q.target)
	if writeErr == nil {
		writeErr = w.Flush()
	}
	head := bound.NewHeadReader(x.conn)
	r := bufio.NewReaderSize(head, readBuffer)
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return errors.CombineErrors(head.Classify(err), writeErr)
		}
		if err := bound.CheckHead(resp); err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusOK {
			resp.Body = bound.NewBody(resp, head, q.route.Kind == table.KindStream && isStream(resp))
			x.resp = resp
			return nil
		}
	}
}
