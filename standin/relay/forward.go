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

// piece is some bytes and when they came.
type segment struct {
	bytes []byte
	at    time.Time
}

// pass moves bytes one way until either end closes. A silent pipe goes on
// reading and drops what it reads, so that it ends with its ends.
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

// write sends the pieces in order, each after the delay. After an error it
// goes on taking pieces, so that the reader never waits for it.
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

// hold waits until a piece may go on.
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
