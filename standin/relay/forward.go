package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/standin/serve"
)

// segment is the bytes of one read and the time of the read.
type segment struct {
	bytes []byte
	at    time.Time
}

// forward copies bytes in one direction until either end closes. On a silent
// pipe it goes on reading and drops what it reads, so that it notices when an
// end closes.
func (t *Route) forward(ctx context.Context, p *pipe, from, to net.Conn) {
	segments := make(chan segment, maxSegments)
	var wg sync.WaitGroup
	wg.Go(func() { t.write(ctx, p, to, segments) })
	err := t.read(p, from, segments)
	close(segments)
	wg.Wait()
	switch {
	case p.isSilent():
	case errors.Is(err, syscall.ECONNRESET):
		p.reset()
	default:
		p.close()
	}
}

func (t *Route) read(p *pipe, from net.Conn, segments chan<- segment) error {
	for {
		b := make([]byte, readSize)
		n, err := from.Read(b)
		if err != nil {
			return err
		}
		select {
		case segments <- segment{bytes: b[:n], at: t.Clock.Now()}:
		case <-p.silent:
		}
	}
}

// write sends the segments in order, each after the delay. After an error it
// goes on receiving segments, so that the reader isn't blocked.
func (t *Route) write(ctx context.Context, p *pipe, to net.Conn, segments <-chan segment) {
	for x := range segments {
		if t.waitToForward(ctx, p, x, to == p.client) != nil || p.isSilent() {
			continue
		}
		if _, err := to.Write(x.bytes); err != nil {
			p.close()
		}
	}
}

// waitToForward waits until the faults let the segment x pass.
func (t *Route) waitToForward(ctx context.Context, p *pipe, x segment, reverse bool) error {
	for {
		f, changed := t.faults.Get()
		if !f.holds(reverse) {
			return serve.Sleep(ctx, t.Clock, time.Duration(f.Delay)-t.Clock.Since(x.at))
		}
		select {
		case <-changed:
		case <-p.silent:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *pipe) isSilent() bool {
	select {
	case <-p.silent:
		return true
	default:
		return false
	}
}
