package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/naming"
	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/link"
)

// askPeers asks peers while the belief is older than the store would leave it.
func (f *Feed) askPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.Clock.After(askEvery):
		}
		age, known := f.Age()
		if known && age <= f.Wait+f.TellWait+askEvery {
			continue
		}
		f.askSome(ctx)
	}
}

// How peers are asked when versions were named.
const (
	// askNamedFirst and askNamedMost part the questions, which become rarer and
	// are spread: a whole fleet that starts at once has the same ones.
	askNamedFirst = 100 * time.Millisecond
	askNamedMost  = 1600 * time.Millisecond
)

// askNamed asks peers when the versions were named that this process has read:
// for as long as it does not know, and a few times in any case.
func (f *Feed) askNamed(ctx context.Context) {
	for {
		changed := f.Changed()
		var due <-chan time.Time
		if pause, ask := f.question(); ask {
			due = f.Clock.After(pause)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// A new version has its own questions, however rare those about the
			// one before have become.
		case <-due:
			f.questioned()
			f.askSome(ctx, f.oneReader()...)
		}
	}
}

// oneReader is a process that watches the store, if one is known: it has heard of
// a naming before those that it tells.
func (f *Feed) oneReader() []Peer {
	if f.Readers == nil {
		return nil
	}
	readers := f.Readers()
	if len(readers) == 0 {
		return nil
	}
	return readers[rand.N(len(readers)):][:1]
}

// question reports whether peers are to be asked about the newest naming, and in
// how long.
func (f *Feed) question() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.askAt - f.Awake(), f.namings.Questions(f.asked)
}

// questioned counts a question, and sets the time of the next.
func (f *Feed) questioned() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	f.planQuestion()
}

// planQuestion sets the time of the next question; it is called with the feed
// locked.
func (f *Feed) planQuestion() {
	pause := min(askNamedFirst<<f.asked, askNamedMost)
	f.askAt = f.Awake() + pause/2 + rand.N(pause)
}

// askSome asks a few peers at the same time, those given first: one that is dark
// would hold up the question to the next until it times out.
func (f *Feed) askSome(ctx context.Context, first ...Peer) {
	others := slices.Clone(f.Peers())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = slices.DeleteFunc(others, func(p Peer) bool { return slices.Contains(first, p) })
	peers := slices.Concat(first, others)
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, p := range peers[:min(askedAtOnce, len(peers))] {
		wg.Go(func() {
			if err := f.askOne(ctx, p); err != nil {
				f.Metrics.Counter("peer_asks_failed_total").Inc(1)
			}
		})
	}
}

func (f *Feed) askOne(ctx context.Context, p Peer) error {
	c, end, err := f.dial(ctx, p, askTimeout)
	if err != nil {
		return err
	}
	defer end()
	if err := c.SetReadDeadline(time.Now().Add(f.answerTime())); err != nil {
		return err
	}
	_, err = f.exchange(c, 0)
	return err
}

// dial connects to a peer within the given time. The connection lasts until end is
// called or ctx ends.
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

// answerTime is how long a peer's answer may take to come: long only for a
// process that believes nothing yet and gets all there is.
func (f *Feed) answerTime() time.Duration {
	if _, known := f.Age(); known {
		return askTimeout
	}
	return wholeTimeout
}

// exchange puts one question, takes the answer in and returns it.
func (f *Feed) exchange(c *link.Conn, wait time.Duration) (*tell, error) {
	asked := f.Awake()
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	if err := c.Send(&ask{After: after, Wait: wait}); err != nil {
		return nil, err
	}
	whole, err := receiveWhole(c)
	if err != nil {
		return nil, err
	}
	f.take(asked, wait > 0, c.Peer.VM.Name, whole)
	return whole, nil
}

// receiveWhole joins the parts of one answer.
func receiveWhole(c *link.Conn) (*tell, error) {
	whole := &tell{}
	for !whole.Last {
		m, err := c.Receive()
		if err != nil {
			return nil, err
		}
		t, ok := m.(*tell)
		if !ok {
			return nil, errors.Newf("answer is %s", m.Kind())
		}
		if t.Items, err = unpackItems(t.Packed); err != nil {
			return nil, err
		}
		if len(t.Named) == 0 {
			t.Named = whole.Named
		}
		t.Away, t.Lost = t.Away || whole.Away, t.Lost || whole.Lost
		t.Items = append(whole.Items, t.Items...)
		t.Keys = append(whole.Keys, t.Keys...)
		whole = t
	}
	return whole, nil
}

// Why a peer is not followed any longer: its belief is old, or it says itself that
// the store does not answer it.
var (
	errOldTeller  = errors.New("the peer's belief is old")
	errNewTeller  = errors.New("the peer believes nothing yet")
	errLostTeller = errors.New("the peer has lost the store")
)

// followPeer is told of changes by one peer for as long as that one's belief
// is young. What other peers tell meanwhile does not count: they are asked now and
// then, and a teller that is cut off would be kept for good though each change is
// then heard of with the next of these questions only.
func (f *Feed) followPeer(ctx context.Context, p Peer) error {
	c, end, err := f.dial(ctx, p, followTimeout)
	if err != nil {
		return err
	}
	defer end()
	for ctx.Err() == nil {
		if err := c.SetReadDeadline(time.Now().Add(f.TellWait + f.answerTime())); err != nil {
			return err
		}
		asked := f.Awake()
		t, err := f.exchange(c, f.TellWait)
		if err != nil {
			return err
		}
		if t.Lost {
			return errLostTeller
		}
		if !t.Known {
			return errNewTeller
		}
		if age := f.Awake() - asked + t.Age; age > 2*f.TellWait+tellerLag {
			return errOldTeller
		}
	}
	return nil
}

// take adopts a peer's answer.
func (f *Feed) take(asked time.Duration, waited bool, peer string, t *tell) {
	if !t.Known {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r := naming.Reply{Asked: asked, Got: f.Awake(), Waited: waited, Away: t.Away}
	f.takeNamed(r, t.Named)
	f.peerTold(waited, t.Age)
	since := r.Since(t.Age)
	if !f.contact().Adopts(since, t.At) {
		return
	}
	if t.At > f.revision {
		f.takeItems(t)
	}
	if age := f.Awake() - f.confirmed; !f.known || age > f.Wait+callTimeout {
		f.Log.Decide(trail.Decision{Area: trail.AreaConfig, Action: "told", Choice: peer, Reason: "age " + t.Age.String(), Revision: t.At})
	}
	f.confirm(since, t.At)
}

func (f *Feed) takeItems(t *tell) {
	if t.Changes {
		f.apply(t.Items, naming.Moment{})
		return
	}
	there := make(map[string]bool, len(t.Keys))
	for _, k := range t.Keys {
		there[k] = true
	}
	items := t.Items
	for key := range f.items {
		if !there[key] {
			items = append(items, Item{Key: key, Revision: t.At, Deleted: true})
		}
	}
	f.apply(items, naming.Moment{})
}
