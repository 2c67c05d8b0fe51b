package feed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/verlog"
	"hawthornferry/io/conn/bound"
	"hawthornferry/io/conn/link"
)

// pollPeersWhileStale asks peers while the state is older than it can be when
// the store or an upstream answers.
func (f *Feed) pollPeersWhileStale(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.Clock.After(peerPollInterval):
		}
		age, known := f.syncAge()
		if known && age <= f.staleAfter() {
			continue
		}
		f.queryPeers(ctx)
	}
}

// Intervals of the queries for when versions were announced.
const (
	// announcementQueryBase and announcementQueryMax bound the pauses between
	// the queries. The pauses double and are randomized, because all processes
	// of a fleet that starts at once have the same queries.
	announcementQueryBase = 100 * time.Millisecond
	announcementQueryMax  = 1600 * time.Millisecond
)

// staleAfter is the age from which on the state is older than it should be.
func (f *Feed) staleAfter() time.Duration {
	w := f.waits()
	return max(f.UsualAge, w.Store+w.Upstream) + peerPollInterval
}

// queryAnnouncements asks peers when the versions that this process has read
// were announced: until that is known or verlog.MaxQuestions is reached, and
// verlog.MinQuestions times in any case.
func (f *Feed) queryAnnouncements(ctx context.Context) {
	for {
		changed := f.Changed()
		var due <-chan time.Time
		if pause, ask := f.nextAnnouncementQuery(); ask {
			due = f.Clock.After(pause)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// A new version restarts the queries at the shortest pause, however
			// long the pause for the previous version has become.
		case <-due:
			f.countQuery()
			f.queryPeers(ctx, f.randomReader()...)
		}
	}
}

// randomReader returns a random process that watches the store, if one is
// known. It learns of an announcement earlier than the processes that get their
// state from it.
func (f *Feed) randomReader() []Peer {
	if f.StoreReaders == nil {
		return nil
	}
	readers := f.StoreReaders()
	if len(readers) == 0 {
		return nil
	}
	return readers[rand.N(len(readers)):][:1]
}

// nextAnnouncementQuery returns how long to wait until peers are asked about
// the newest announcement, and whether to ask at all.
func (f *Feed) nextAnnouncementQuery() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextQuery - f.Uptime(), f.announcements.ShouldAsk(f.queries)
}

// countQuery counts a query and schedules the next one.
func (f *Feed) countQuery() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries++
	f.scheduleQuery()
}

// scheduleQuery sets the time of the next query. f.mu must be held.
func (f *Feed) scheduleQuery() {
	pause := min(announcementQueryBase<<f.queries, announcementQueryMax)
	f.nextQuery = f.Uptime() + pause/2 + rand.N(pause)
}

// queryPeers asks a few peers in parallel, the given ones first. Asked in turn,
// an unresponsive peer would delay the next one by its timeout.
func (f *Feed) queryPeers(ctx context.Context, first ...Peer) {
	others := slices.Clone(f.Peers())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = slices.DeleteFunc(others, func(p Peer) bool { return slices.Contains(first, p) })
	peers := slices.Concat(first, others)
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, p := range peers[:min(peersPerRound, len(peers))] {
		wg.Go(func() {
			if err := f.queryPeer(ctx, p); err != nil {
				f.Metrics.Counter("peer_asks_failed_total").Inc(1)
			}
		})
	}
}

func (f *Feed) queryPeer(ctx context.Context, p Peer) error {
	c, end, err := f.dial(ctx, p, PeerTimeout)
	if err != nil {
		return err
	}
	defer end()
	if err := c.SetReadDeadline(time.Now().Add(f.replyTimeout())); err != nil {
		return err
	}
	_, err = f.exchange(c, 0)
	return err
}

// dial connects to a peer within the given time. The connection lasts until end
// is called or ctx ends.
func (f *Feed) dial(ctx context.Context, p Peer, within time.Duration) (c *link.Conn, end func(), err error) {
	dialCtx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if c, err = link.Dial(dialCtx, f.Self, p.Address, link.PurposeConfig, kinds()); err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	return c, func() {
		stop()
		c.Close()
	}, nil
}

// replyTimeout is how long a peer's reply may take. It is long only for a
// process without any state, which gets all of it.
func (f *Feed) replyTimeout() time.Duration {
	if _, known := f.syncAge(); known {
		return PeerTimeout
	}
	return fullReplyTimeout
}

// exchange sends one request, applies the reply and returns it.
func (f *Feed) exchange(c *link.Conn, wait time.Duration) (*factsReply, error) {
	asked := f.Uptime()
	f.mu.Lock()
	req := &factsRequest{After: f.revision, Wait: wait, ConfigVersion: f.configVersion()}
	f.mu.Unlock()
	if err := c.Send(req); err != nil {
		return nil, err
	}
	reply, err := receiveReply(c)
	if err != nil {
		return nil, err
	}
	f.adoptReply(asked, wait > 0, c.Peer.VM.Name, reply)
	return reply, nil
}

// receiveReply receives and joins the parts of one reply.
func receiveReply(c *link.Conn) (*factsReply, error) {
	reply := &factsReply{}
	size := 0
	for !reply.Last {
		m, err := c.Receive()
		if err != nil {
			return nil, err
		}
		part, ok := m.(*factsReply)
		if !ok {
			return nil, errors.Newf("reply is a %s message, want factsTell", m.Kind())
		}
		if part.Items, err = unpackItems(part.Packed); err != nil {
			return nil, err
		}
		if size += part.size(); size > bound.MaxStateBytes {
			return nil, c.CutOff(bound.Exceeded(bound.Reply, bound.MaxStateBytes))
		}
		if len(part.Announced) == 0 {
			part.Announced = reply.Announced
		}
		if len(part.PackedAhead) == 0 {
			part.PackedAhead = reply.PackedAhead
		}
		part.StoreUnreachable, part.StoreLost = part.StoreUnreachable || reply.StoreUnreachable, part.StoreLost || reply.StoreLost
		part.StoreLateness = cmp.Or(part.StoreLateness, reply.StoreLateness)
		part.Items = append(reply.Items, part.Items...)
		part.Keys = append(reply.Keys, part.Keys...)
		reply = part
	}
	return reply, nil
}

// Reasons to stop following an upstream.
var (
	errUpstreamStale     = errors.New("the peer's state is too old")
	errUpstreamWaits     = errors.New("the store does not answer the peer")
	errUpstreamEmpty     = errors.New("the peer has no state yet")
	errUpstreamLostStore = errors.New("the peer has lost the store")
	errRelayKnown        = errors.New("another process is to be followed")
)

// followUpstream requests changes from one upstream for as long as its state is
// recent. Only the upstream's own replies count for that, not the age of this
// process's state: other peers also refresh that now and then, so a
// disconnected upstream would be kept for good, and changes would arrive only
// with the queries to other peers.
//
// The first request doesn't wait for a change: an upstream that the store doesn't
// answer has none to report, and after it others must be tried in time. It ends with
// errRelayKnown once leave reports true. It also returns whether the upstream has reported
// a state that is recent.
func (f *Feed) followUpstream(ctx context.Context, p Peer, leave func() bool) (reported bool, err error) {
	c, end, err := f.dial(ctx, p, upstreamDialTimeout)
	if err != nil {
		return reported, err
	}
	defer end()
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if err := c.SetReadDeadline(time.Now().Add(wait + f.replyTimeout())); err != nil {
			return reported, err
		}
		asked := f.Uptime()
		reply, err := f.exchange(c, wait)
		if err != nil {
			return reported, err
		}
		if reply.StoreLost {
			return reported, errUpstreamLostStore
		}
		if !reply.Known {
			return reported, errUpstreamEmpty
		}
		if age := f.Uptime() - asked + reply.Age; age > 2*f.waits().Upstream+upstreamAgeMargin {
			return reported, errUpstreamStale
		}
		if f.MaxStoreLateness > 0 && reply.StoreLateness > f.MaxStoreLateness {
			return reported, errUpstreamWaits
		}
		if !reported {
			f.clearStoreLost()
		}
		reported = true
		if leave() {
			return true, errRelayKnown
		}
		wait = f.upstreamWait(reply)
	}
	return reported, nil
}

// upstreamWait is how long the next request to an upstream waits for a change. If the
// store's answer to the upstream is late by then, the reply must come in time.
func (f *Feed) upstreamWait(reply *factsReply) time.Duration {
	longest := f.waits().Upstream
	if f.MaxStoreLateness <= 0 {
		return longest
	}
	return min(longest, max(f.MaxStoreLateness-reply.StoreLateness, minUpstreamWait))
}

// adoptReply applies a peer's reply to a request sent at asked. waited is set
// if the request waited for a change.
func (f *Feed) adoptReply(asked time.Duration, waited bool, peer string, reply *factsReply) {
	if !reply.Known {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r := verlog.Reply{Asked: asked, Got: f.Uptime(), LongPoll: waited, StoreUnreachable: reply.StoreUnreachable}
	f.mergeAnnouncements(r, reply.Announced)
	f.recordPeerReply(waited, reply.Age)
	defer f.adoptAhead(reply)
	since := r.Since(reply.Age)
	if !f.contact().ShouldAdopt(since, reply.AtRevision) {
		return
	}
	if reply.AtRevision > f.revision {
		f.applyReply(reply)
	}
	if age := f.Uptime() - f.confirmed; !f.known || age > max(f.staleAfter(), f.waits().Store+watchSlack) {
		f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "told", Choice: peer, Reason: "age " + reply.Age.String(), Revision: reply.AtRevision})
	}
	f.confirm(since, reply.AtRevision)
}

// applyReply applies the items of a reply with a higher revision. f.mu must be
// held.
func (f *Feed) applyReply(reply *factsReply) {
	if reply.Changes {
		f.apply(reply.Items, source{})
		return
	}
	present := make(map[string]bool, len(reply.Keys))
	for _, k := range reply.Keys {
		present[k] = true
	}
	f.applyAll(reply.Items, present, reply.AtRevision)
}
