package swarm

import (
	"context"
	"sync"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/version/chunk"
)

// Bounds of uploads.
const (
	maxOutgoing = 16 // chunks asked for at a time on one connection
	maxRequests = 64 // blocks asked for at a time of one chunk
)

// outgoing is one chunk on its way to a peer.
type outgoing struct {
	id       transferID
	conn     *conn
	ref      chunk.Ref
	far      bool // to another region
	data     []byte
	requests []*want
	turn     int // when it was last served, in blocks
}

// uploads sends blocks to peers in turn. Sent one chunk after the other, the
// blocks would reach a receiver in clumps from several senders at once, with
// its link idle in between.
type uploads struct {
	node *Node

	mu   sync.Mutex
	list []*outgoing
	sent int // blocks
	wake chan struct{}
}

func (u *uploads) signal() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// request takes a peer's want. A chunk that this side wants but does not yet
// hold is sent once it does.
func (u *uploads) request(c *conn, w *want) {
	ref, ok := u.node.wantedRef(w.Chunk)
	if !ok || w.Offset+w.Length > ref.Size {
		u.node.report("serve chunk", c.name(), fault.Newf("serve chunk", c.name(), "asked for %s at %d, which is not offered", w.Chunk, w.Offset))
		u.refuse(c, w.transferID)
		return
	}
	if !u.add(c, ref, w) {
		u.refuse(c, w.transferID)
		return
	}
	if !u.node.held(w.Chunk) {
		c.send(&later{transferID: w.transferID})
	}
	u.signal()
}

func (u *uploads) refuse(c *conn, id transferID) {
	c.send(&lacks{transferID: id})
	u.node.served(c.name())
}

func (u *uploads) add(c *conn, ref chunk.Ref, w *want) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	mine := 0
	for _, o := range u.list {
		if o.conn != c {
			continue
		}
		mine++
		if o.id != w.transferID {
			continue
		}
		if len(o.requests) >= maxRequests {
			return false
		}
		o.requests = append(o.requests, w)
		return true
	}
	if mine >= maxOutgoing {
		return false
	}
	far := c.Peer.VM.Region != u.node.Self.VM.Region
	u.list = append(u.list, &outgoing{id: w.transferID, conn: c, ref: ref, far: far, requests: []*want{w}})
	return true
}

// cancel forgets what a peer asked for in one transfer.
func (u *uploads) cancel(c *conn, id transferID) {
	u.remove(func(o *outgoing) bool { return o.conn == c && o.id == id })
	u.node.served(c.name())
}

// closed forgets all that a connection asked for.
func (u *uploads) closed(c *conn) {
	u.remove(func(o *outgoing) bool { return o.conn == c })
}

func (u *uploads) remove(match func(*outgoing) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	kept := u.list[:0]
	for _, o := range u.list {
		if !match(o) {
			kept = append(kept, o)
		}
	}
	clear(u.list[len(kept):])
	u.list = kept
}

// next takes the request to serve now: that of the chunk served longest ago,
// but those to another region before the rest, since a region link is the
// scarcer.
func (u *uploads) next() (*outgoing, *want) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var best *outgoing
	for _, o := range u.list {
		if len(o.requests) == 0 || !u.node.held(o.ref.Digest) {
			continue
		}
		if best == nil || o.before(best) {
			best = o
		}
	}
	if best == nil {
		return nil, nil
	}
	w := best.requests[0]
	best.requests = best.requests[1:]
	u.sent++
	best.turn = u.sent
	return best, w
}

func (o *outgoing) before(other *outgoing) bool {
	if o.far != other.far {
		return o.far
	}
	return o.turn < other.turn
}

// run serves requests until ctx ends.
func (u *uploads) run(ctx context.Context) {
	for {
		o, w := u.next()
		if o == nil {
			select {
			case <-ctx.Done():
				return
			case <-u.wake:
				continue
			}
		}
		if err := u.serve(ctx, o, w); err != nil {
			u.node.report("serve chunk", o.conn.name(), err)
			o.conn.send(&lacks{transferID: o.id})
			u.cancel(o.conn, o.id)
		}
	}
}

func (u *uploads) serve(ctx context.Context, o *outgoing, w *want) error {
	if o.data == nil {
		b, err := u.node.bytesOf(ctx, o.ref)
		if err != nil {
			return err
		}
		o.data = b
	}
	if err := u.node.pacer.Up.Wait(ctx, int(w.Length)); err != nil {
		return err
	}
	end := w.Offset + w.Length
	o.conn.sendBlock(&block{transferID: o.id, Offset: w.Offset, Data: o.data[w.Offset:end]})
	u.node.sentBlock(o.conn.name())
	u.node.counters.sent.Inc(w.Length)
	if end == o.ref.Size {
		u.cancel(o.conn, o.id)
	}
	return nil
}
