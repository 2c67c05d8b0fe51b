package feed

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/verlog"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// Timeouts, intervals and sizes of requests between peers.
const (
	// peerPollInterval is how often peers are asked while the state is not
	// being confirmed.
	peerPollInterval = 300 * time.Millisecond
	// PeerTimeout bounds the wait for a connection and for a short reply; peers
	// are milliseconds apart. fullReplyTimeout bounds a reply that contains the
	// whole state, over a link that is shared.
	PeerTimeout      = 600 * time.Millisecond
	fullReplyTimeout = 3 * time.Second
	// peersPerRound is how many peers are asked at a time: one of them may be
	// disconnected itself.
	peersPerRound = 2
	// maxPollWait bounds how long a request may wait for a change, and how long
	// a connection is kept without a request.
	maxPollWait = 10 * time.Second
	// upstreamPauseDefault is how long a process without StoreBackoff calls the
	// store before it tries its upstreams again after none of them reported:
	// the settings may name machines that no longer exist, and each try delays
	// its watch of the store.
	upstreamPauseDefault = 2 * time.Second
	// upstreamDialTimeout bounds the wait for a connection to an upstream: a
	// machine without power doesn't answer, a running one does within
	// milliseconds.
	upstreamDialTimeout = 150 * time.Millisecond
	// upstreamAgeMargin is the age that the state of an upstream in contact
	// with the store may have, including one failed watch. followUpstream
	// allows two waits of a request in addition.
	upstreamAgeMargin = 2500 * time.Millisecond
	// minUpstreamWait keeps requests to an upstream that awaits a late answer from
	// following each other without a pause.
	minUpstreamWait = 50 * time.Millisecond
	// replyPartBytes is the size of the item values in one part of a reply,
	// well below the limit of a frame.
	replyPartBytes = 256 << 10
)

// Peer is a process that may have the platform's state.
type Peer struct {
	Address netip.AddrPort
}

// factsRequest is the request of a process that holds the store's revision
// After. The peer replies once it has a newer revision or has lost the store,
// at the latest after Wait.
//
// ConfigVersion is that of the requester's configuration, 0 if it has none.
type factsRequest struct {
	After         uint64        `msgpack:"after"`
	Wait          time.Duration `msgpack:"wait"`
	ConfigVersion uint64        `msgpack:"config"`
}

// Kind returns the message's name on the wire.
func (*factsRequest) Kind() frame.Kind { return "factsAsk" }

// Check returns an error if the wait is out of range.
func (a *factsRequest) Check() error {
	if a.Wait < 0 || a.Wait > maxPollWait {
		return errors.Newf("factsAsk: wait %s, want 0 to %s", a.Wait, maxPollWait)
	}
	return nil
}

// factsReply is one part of a reply. Ages are sent instead of times, because
// the clocks of processes differ. Last marks the last part.
type factsReply struct {
	Known      bool          `msgpack:"known"`
	AtRevision uint64        `msgpack:"at"`
	Age        time.Duration `msgpack:"age"`
	Items      []Item        `msgpack:"-"`
	// Packed is the result of packItems for Items.
	Packed []byte `msgpack:"packed"`
	// PackedAhead is the result of packItems for the configuration, if it is newer than the
	// requester's although its revision is not: the store was restored and has forgotten it.
	PackedAhead []byte `msgpack:"ahead"`
	// Changes is set when Items are all changes after the requested revision,
	// including removals. Otherwise Keys lists all existing keys, and the
	// requester removes every other key.
	Changes bool     `msgpack:"changes"`
	Keys    []string `msgpack:"keys"`
	// Announced lists the announced versions, including replaced ones: the
	// store holds only the newest, and the time limit that counts from an
	// earlier announcement ends first.
	Announced []verlog.VersionReport `msgpack:"named"`
	// StoreUnreachable is set if the sender has been unable to reach the store since Age
	// ago.
	StoreUnreachable bool `msgpack:"away"`
	// StoreLost is set if the last two calls of the sender to the store failed.
	StoreLost bool `msgpack:"lost"`
	// StoreLateness is how late the store's answer to the sender's present call is;
	// negative if it is not due yet, zero if none is awaited.
	StoreLateness time.Duration `msgpack:"late"`
	Last          bool          `msgpack:"last"`
}

// Kind returns the message's name on the wire.
func (*factsReply) Kind() frame.Kind { return "factsTell" }

// Check returns an error for the first field that is out of range.
func (t *factsReply) Check() error {
	for i := range t.Announced {
		if err := t.Announced[i].Check(); err != nil {
			return err
		}
	}
	if t.Age < 0 {
		return errors.Newf("factsTell: age %s is below 0", t.Age)
	}
	return nil
}

func kinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &factsRequest{} })
	k.Register(func() frame.Message { return &factsReply{} })
	return k
}

// Handler serves requests of peers.
func (f *Feed) Handler() link.Handler {
	return link.Handler{Kinds: kinds(), Serve: f.serve}
}

func (f *Feed) serve(ctx context.Context, c *link.Conn) {
	f.init()
	for {
		if err := c.SetReadDeadline(time.Now().Add(maxPollWait + PeerTimeout)); err != nil {
			return
		}
		m, err := c.Receive()
		if err != nil {
			return
		}
		req, ok := m.(*factsRequest)
		if !ok {
			return
		}
		f.awaitChange(ctx, req)
		if err := c.SetWriteDeadline(time.Now().Add(fullReplyTimeout)); err != nil {
			return
		}
		for _, t := range f.buildReply(req) {
			// If the reply can't be sent, the peer asks another process.
			if f.sendReply(c, t) != nil {
				return
			}
		}
	}
}

func (f *Feed) sendReply(c *link.Conn, part *factsReply) error {
	var err error
	if part.Packed, err = packItems(part.Items); err != nil {
		return err
	}
	return c.Send(part)
}

// awaitChange returns once there is a newer revision than the requester holds,
// the store is lost, or the request's wait is over.
func (f *Feed) awaitChange(ctx context.Context, req *factsRequest) {
	if req.Wait <= 0 {
		return
	}
	over := f.Clock.After(req.Wait)
	for {
		changed := f.Changed()
		if f.Current().Revision > req.After || f.isStoreLost() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-over:
			return
		case <-changed:
		}
	}
}

// itemOverhead is what one part, item, key or announcement counts for besides its text, in bytes.
const itemOverhead = 64

// sizeOf returns what items count for towards the bound on the state.
func sizeOf(items []Item) int {
	n := 0
	for _, it := range items {
		n += itemOverhead + len(it.Key) + len(it.Value)
	}
	return n
}

// size returns what a part that has been unpacked counts for towards the bound on the state.
func (t *factsReply) size() int {
	n := sizeOf(t.Items) + itemOverhead*(1+len(t.Keys)+len(t.Announced)) + len(t.PackedAhead)
	for _, k := range t.Keys {
		n += len(k)
	}
	return n
}

// buildReply returns the parts of the reply with all changes after the
// requested revision.
func (f *Feed) buildReply(req *factsRequest) []*factsReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &factsReply{Known: f.known, AtRevision: f.revision, Age: max(0, f.Uptime()-f.confirmed), Announced: f.announcements.VersionReports(f.Uptime()), StoreUnreachable: f.contact().StoreUnreachable(f.ranSince), StoreLost: f.storeLost, StoreLateness: f.storeLateness()}
	t.PackedAhead = f.packAhead(req)
	if !f.known || f.revision <= req.After {
		t.Last = true
		return []*factsReply{t}
	}
	changes := f.removed.completeSince(req.After)
	var out []*factsReply
	size := 0
	for key, it := range f.items {
		if !changes {
			t.Keys = append(t.Keys, key)
		}
		if it.Revision <= req.After {
			continue
		}
		t.Items = append(t.Items, it)
		size += len(it.Value)
		if size > replyPartBytes {
			out = append(out, t)
			t = &factsReply{Known: true, AtRevision: f.revision, Age: t.Age}
			size = 0
		}
	}
	if changes {
		t.Items = append(t.Items, f.removed.after(req.After)...)
	}
	t.Changes, t.Last = changes, true
	return append(out, t)
}
