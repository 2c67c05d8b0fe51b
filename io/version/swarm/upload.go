package swarm

import (
	"context"
	"sync"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/version/chunk"
)

// Limits of uploads.
const (
	maxChunksPerConn    = 16 // chunks that one connection may request at a time
	maxRequestsPerChunk = 64 // queued block requests for one chunk
)

// outgoing is the transfer of one chunk to a peer.
type outgoing struct {
	id          transferID
	conn        *conn
	ref         chunk.Ref
	otherRegion bool // the peer is in another region
	data        []byte
	requests    []*blockRequest
	lastServed  int // value of uploads.blocksSent when it was last served
}

// uploads sends requested blocks, one of each chunk in turn. If it sent whole
// chunks one after the other, a receiver would get blocks from several senders
// at once, with its link idle in between.
type uploads struct {
	node *Node

	mu         sync.Mutex
	list       []*outgoing
	blocksSent int // blocks taken by next so far
	wake       chan struct{}
}

// signal wakes run.
func (u *uploads) signal() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// handleRequest handles a peer's block request. A chunk that this side wants
// but does not hold yet is sent once it does.
func (u *uploads) handleRequest(c *conn, req *blockRequest) {
	ref, ok := u.node.wantedChunk(req.Chunk)
	if !ok || req.Offset+req.Length > ref.Size {
		u.node.logError("serve chunk", c.peerName(), operr.Errorf("serve chunk", c.peerName(), "request for chunk %s at offset %d: no wanted version has these bytes", req.Chunk, req.Offset))
		u.refuse(c, req.transferID)
		return
	}
	if !u.add(c, ref, req) {
		u.refuse(c, req.transferID)
		return
	}
	if !u.node.isHeld(req.Chunk) {
		c.queueControl(&deferRequest{transferID: req.transferID})
	}
	u.signal()
}

// refuse answers that the chunk will not be sent.
func (u *uploads) refuse(c *conn, id transferID) {
	c.queueControl(&refuseRequest{transferID: id})
	u.node.uploadEnded(c.peerName(), false)
}

// add queues a request and reports false if the peer has too many.
func (u *uploads) add(c *conn, ref chunk.Ref, req *blockRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	active := 0
	for _, o := range u.list {
		if o.conn != c {
			continue
		}
		active++
		if o.id != req.transferID {
			continue
		}
		if len(o.requests) >= maxRequestsPerChunk {
			return false
		}
		o.requests = append(o.requests, req)
		return true
	}
	if active >= maxChunksPerConn {
		return false
	}
	otherRegion := c.Peer.VM.Region != u.node.Self.VM.Region
	u.list = append(u.list, &outgoing{id: req.transferID, conn: c, ref: ref, otherRegion: otherRegion, requests: []*blockRequest{req}})
	return true
}

// cancel removes the requests of one transfer whose chunk was not sent.
func (u *uploads) cancel(c *conn, id transferID) { u.end(c, id, false) }

// end removes the requests of one transfer. sent is set if all of its chunk was sent.
func (u *uploads) end(c *conn, id transferID, sent bool) {
	u.remove(func(o *outgoing) bool { return o.conn == c && o.id == id })
	u.node.uploadEnded(c.peerName(), sent)
}

// removeConn removes all requests of a connection.
func (u *uploads) removeConn(c *conn) {
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

// next removes and returns the request to serve next, of a chunk that is held.
// Requests from other regions come first, since the links between regions are
// scarcer; otherwise the chunk that was served longest ago does.
func (u *uploads) next() (*outgoing, *blockRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var best *outgoing
	for _, o := range u.list {
		if len(o.requests) == 0 || !u.node.isHeld(o.ref.Digest) {
			continue
		}
		if best == nil || o.hasPriorityOver(best) {
			best = o
		}
	}
	if best == nil {
		return nil, nil
	}
	req := best.requests[0]
	best.requests = best.requests[1:]
	u.blocksSent++
	best.lastServed = u.blocksSent
	return best, req
}

// hasPriorityOver reports whether o must be served before other.
func (o *outgoing) hasPriorityOver(other *outgoing) bool {
	if o.otherRegion != other.otherRegion {
		return o.otherRegion
	}
	return o.lastServed < other.lastServed
}

// run serves requests until ctx ends.
func (u *uploads) run(ctx context.Context) {
	for {
		o, req := u.next()
		if o == nil {
			select {
			case <-ctx.Done():
				return
			case <-u.wake:
				continue
			}
		}
		if err := u.serve(ctx, o, req); err != nil {
			u.node.logError("serve chunk", o.conn.peerName(), err)
			o.conn.queueControl(&refuseRequest{transferID: o.id})
			u.cancel(o.conn, o.id)
		}
	}
}

// serve sends one block when the uplink allows it, and ends the transfer with
// the last block of the chunk.
func (u *uploads) serve(ctx context.Context, o *outgoing, req *blockRequest) error {
	if o.data == nil {
		b, err := u.node.readChunk(ctx, o.ref)
		if err != nil {
			return err
		}
		o.data = b
	}
	if err := u.node.pacer.Up.Wait(ctx, int(req.Length)); err != nil {
		return err
	}
	end := req.Offset + req.Length
	o.conn.queueBlock(&block{transferID: o.id, Offset: req.Offset, Data: o.data[req.Offset:end]})
	u.node.blockSent(o.conn.peerName())
	u.node.counters.sent.Inc(req.Length)
	if end == o.ref.Size {
		u.end(o.conn, o.id, true)
	}
	return nil
}
