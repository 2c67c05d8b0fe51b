package feed

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// Times of the relay between peers.
const (
	// askEvery is how often peers are asked while the store does not answer.
	askEvery = 300 * time.Millisecond
	// askTimeout bounds the wait for a connection and for a question to leave;
	// peers are milliseconds apart. wholeTimeout bounds an answer that brings all
	// there is, over a link that others use as well.
	askTimeout   = 600 * time.Millisecond
	wholeTimeout = 3 * time.Second
	// askedAtOnce is how many peers are asked each time: one of them may be
	// cut off itself.
	askedAtOnce = 2
	// mostTellWait bounds how long a process that is told of changes may wait
	// for one.
	mostTellWait = 10 * time.Second
	// tellersRest is how long a process keeps to the store after none of its
	// tellers told: the settings may name machines that are gone, and each try
	// holds up its watch.
	tellersRest = 2 * time.Second
	// followTimeout bounds the wait for a peer that is to tell: a machine that
	// has no power does not answer, and one that lives does within a few
	// milliseconds, or a hundred while it starts.
	followTimeout = 150 * time.Millisecond
	// tellerLag is how old the belief of a peer in touch with the store may be,
	// a lost watch included.
	tellerLag = 2500 * time.Millisecond
	// tellBytes is how much of the items one message carries, well under the
	// bound of a frame.
	tellBytes = 256 << 10
)

// Peer is a process that may know what the store says.
type Peer struct {
	Address netip.AddrPort
}

// ask is the question of a process that holds the store's revision After. The
// peer answers once it has more, or after Wait.
type ask struct {
	After uint64        `msgpack:"after"`
	Wait  time.Duration `msgpack:"wait"`
}

// Kind names the message.
func (*ask) Kind() frame.Kind { return "factsAsk" }

// Check reports whether the wait is out of its domain.
func (a *ask) Check() error {
	if a.Wait < 0 || a.Wait > mostTellWait {
		return errors.Newf("factsAsk: wait %s, want 0 to %s", a.Wait, mostTellWait)
	}
	return nil
}

// tell is one part of an answer. Its items travel packed. The ages of processes travel as durations,
// since their clocks differ. Keys lists every key there is, so that the asker
// finds out what was removed; Last marks the last part.
type tell struct {
	Known bool          `msgpack:"known"`
	At    uint64        `msgpack:"at"`
	Age   time.Duration `msgpack:"age"`
	Items []Item        `msgpack:"-"`
	// Packed is what packItems makes of Items.
	Packed []byte   `msgpack:"packed"`
	Keys   []string `msgpack:"keys"`
	// Ages are how long ago the versions of the keys were named, as far as
	// the sender heard of it as it happened.
	Ages map[string]time.Duration `msgpack:"ages"`
	Last bool                     `msgpack:"last"`
}

// Kind names the message.
func (*tell) Kind() frame.Kind { return "factsTell" }

// Check reports the first field that is out of its domain.
func (t *tell) Check() error {
	for key, age := range t.Ages {
		if age < 0 {
			return errors.Newf("factsTell: age %s of %q is below 0", age, key)
		}
	}
	if t.Age < 0 {
		return errors.Newf("factsTell: age %s is below 0", t.Age)
	}
	return nil
}

func kinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &ask{} })
	k.Register(func() frame.Message { return &tell{} })
	return k
}

// Handler answers peers that ask.
func (f *Feed) Handler() link.Handler {
	return link.Handler{Kinds: kinds(), Serve: f.answer}
}

func (f *Feed) answer(ctx context.Context, c *link.Conn) {
	f.init()
	for {
		if err := c.SetReadDeadline(time.Now().Add(mostTellWait + askTimeout)); err != nil {
			return
		}
		m, err := c.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*ask)
		if !ok {
			return
		}
		f.awaitNews(ctx, q)
		if err := c.SetWriteDeadline(time.Now().Add(wholeTimeout)); err != nil {
			return
		}
		for _, t := range f.answerTo(q) {
			// An answer that does not arrive is as good as none: the peer
			// asks another one.
			if f.send(c, t) != nil {
				return
			}
		}
	}
}

func (f *Feed) send(c *link.Conn, t *tell) error {
	var err error
	if t.Packed, err = packItems(t.Items); err != nil {
		return err
	}
	return c.Send(t)
}

// awaitNews returns once there is more than the asker holds, or its wait is
// over.
func (f *Feed) awaitNews(ctx context.Context, q *ask) {
	if q.Wait <= 0 {
		return
	}
	over := f.Clock.After(q.Wait)
	for {
		changed := f.Changed()
		if f.Current().Revision > q.After {
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

// answerTo collects what has changed since the asker's revision.
func (f *Feed) answerTo(q *ask) []*tell {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &tell{Known: f.known, At: f.revision, Age: max(0, f.Awake()-f.confirmed), Ages: f.agesOf()}
	if !f.known || f.revision <= q.After {
		t.Last = true
		return []*tell{t}
	}
	var out []*tell
	size := 0
	for key, it := range f.items {
		t.Keys = append(t.Keys, key)
		if it.Revision <= q.After {
			continue
		}
		t.Items = append(t.Items, it)
		size += len(it.Value)
		if size > tellBytes {
			out = append(out, t)
			t = &tell{Known: true, At: f.revision, Age: t.Age}
			size = 0
		}
	}
	t.Last = true
	return append(out, t)
}

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

// agesWait is how long after its first belief a process asks peers when the
// versions in it were named: those that started with it know no more.
const agesWait = 100 * time.Millisecond

// askAges asks peers once, after the start.
func (f *Feed) askAges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.Clock.After(agesWait):
		}
		if _, known := f.Age(); known {
			f.askSome(ctx)
			return
		}
	}
}

func (f *Feed) askSome(ctx context.Context) {
	peers := f.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(askedAtOnce, len(peers))] {
		if err := f.askOne(ctx, p); err != nil {
			f.Metrics.Counter("peer_asks_failed").Inc(1)
		}
	}
}

func (f *Feed) askOne(ctx context.Context, p Peer) error {
	dialCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c, err := link.Dial(dialCtx, f.Self, p.Address, link.PurposeConfig, kinds())
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if err := c.SetReadDeadline(time.Now().Add(f.answerTime())); err != nil {
		return err
	}
	return f.exchange(c, 0)
}

// answerTime is how long a peer's answer may take to come: long only for a
// process that believes nothing yet and gets all there is.
func (f *Feed) answerTime() time.Duration {
	if _, known := f.Age(); known {
		return askTimeout
	}
	return wholeTimeout
}

// exchange puts one question and takes the answer in.
func (f *Feed) exchange(c *link.Conn, wait time.Duration) error {
	asked := f.Awake()
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	if err := c.Send(&ask{After: after, Wait: wait}); err != nil {
		return err
	}
	whole := &tell{}
	for !whole.Last {
		m, err := c.Receive()
		if err != nil {
			return err
		}
		t, ok := m.(*tell)
		if !ok {
			return errors.Newf("answer is %s", m.Kind())
		}
		if t.Items, err = unpackItems(t.Packed); err != nil {
			return err
		}
		if t.Ages == nil {
			t.Ages = whole.Ages
		}
		t.Items = append(whole.Items, t.Items...)
		t.Keys = append(whole.Keys, t.Keys...)
		whole = t
	}
	f.take(asked, after, c.Peer.VM.Name, whole)
	return nil
}

// errOldTeller ends the following of a peer that has itself lost the store.
var errOldTeller = errors.New("the peer's belief is old")

// followPeer is told of changes by one peer for as long as that one's belief
// is young.
func (f *Feed) followPeer(ctx context.Context, p Peer) error {
	dialCtx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	c, err := link.Dial(dialCtx, f.Self, p.Address, link.PurposeConfig, kinds())
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	for ctx.Err() == nil {
		if err := c.SetReadDeadline(time.Now().Add(f.TellWait + f.answerTime())); err != nil {
			return err
		}
		if err := f.exchange(c, f.TellWait); err != nil {
			return err
		}
		if age, known := f.Age(); !known || age > 2*f.TellWait+tellerLag {
			return errOldTeller
		}
	}
	return nil
}

// take adopts a peer's answer. What the peer had confirmed Age before it
// answered was true at the latest Age before it was asked.
func (f *Feed) take(asked time.Duration, after uint64, peer string, t *tell) {
	if !t.Known {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.At == f.revision {
		f.takeAges(t.Ages)
	}
	since := asked - t.Age
	if t.At < f.revision || f.revision != after || (f.known && since <= f.confirmed) {
		return
	}
	if t.At > after {
		f.takeItems(t)
		f.takeAges(t.Ages)
	}
	if age := f.Awake() - f.confirmed; !f.known || age > f.Wait+callTimeout {
		f.Log.Decide(trail.Decision{Area: trail.AreaConfig, Action: "told", Choice: peer, Reason: "age " + t.Age.String(), Revision: t.At})
	}
	f.confirm(since, t.At)
}

func (f *Feed) takeItems(t *tell) {
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
	f.apply(items)
}
