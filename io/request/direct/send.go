package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fault"
)

// readBuffer is the size of the buffer for answers, in bytes.
const readBuffer = 4 << 10

// sender sends requests to targets, each on a connection of its own. On a
// kept one a late second answer, or bytes after an answer, could be taken for
// the next answer; and one that has gone silent would swallow a request that
// may not be sent twice. A connection costs a target a millisecond.
type sender struct {
	clock clockwork.Clock
	ways  ways
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
}

func newSender(clock clockwork.Clock) *sender {
	return &sender{clock: clock, ways: ways{clock: clock}, dial: (&net.Dialer{}).DialContext}
}

// exchange is one request at one target, from the head of its answer on.
type exchange struct {
	conn net.Conn
	resp *http.Response
	stop func() bool
	// done is closed with the exchange.
	done chan struct{}
	once sync.Once
	// left says why the entry itself ended the exchange.
	left atomic.Pointer[error]
}

// abandon ends the exchange from the entry's side.
func (x *exchange) abandon(why error) {
	x.left.Store(&why)
	x.conn.Close()
}

// reason is why the entry ended the exchange, nil when it did not.
func (x *exchange) reason() error {
	if why := x.left.Load(); why != nil {
		return *why
	}
	return nil
}

// close ends the exchange; a target stops its work when its connection ends.
func (x *exchange) close() {
	x.once.Do(func() { close(x.done) })
	x.stop()
	x.conn.Close()
}

// message is an event of a stream, or the error with which it ended.
type message struct {
	event event
	err   error
}

// messages reads the events of the answer until it or the exchange ends.
func (x *exchange) messages() <-chan message {
	out := make(chan message)
	in := bufio.NewReaderSize(x.resp.Body, readBuffer)
	go func() {
		for {
			e, err := readEvent(in)
			select {
			case out <- message{e, err}:
			case <-x.done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return out
}

// connect opens a connection to a target; after an error the target has not
// seen the request. The exchange ends when ctx does.
func (s *sender) connect(ctx context.Context, t facts.Target) (*exchange, error) {
	dialCtx, cancel := context.WithTimeout(ctx, s.ways.timeout(t.Zone))
	defer cancel()
	began := s.clock.Now()
	conn, err := s.dial(dialCtx, "tcp", t.Address.String())
	if err != nil {
		return nil, fault.At("connect to target", t.Address.String(), err)
	}
	s.ways.note(t.Zone, s.clock.Since(began))
	x := &exchange{conn: conn, done: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { conn.Close() })
	return x, nil
}

// roundTrip writes the request and reads the head. A target may answer and
// reset before it has read a long body; its answer counts all the same.
func (x *exchange) roundTrip(req *http.Request, body []byte) error {
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	w := bufio.NewWriterSize(x.conn, readBuffer)
	writeErr := req.Write(w)
	if writeErr == nil {
		writeErr = w.Flush()
	}
	r := bufio.NewReaderSize(x.conn, readBuffer)
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return errors.CombineErrors(err, writeErr)
		}
		if resp.StatusCode >= http.StatusOK {
			x.resp = resp
			return nil
		}
	}
}
