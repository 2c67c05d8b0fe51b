package feed

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/naming"
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
	// has no power does not answer, and one that lives does within milliseconds.
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

// tell is one part of an answer. Its items travel packed, and ages as durations,
// since the clocks of processes differ. Last marks the last part.
type tell struct {
	Known bool          `msgpack:"known"`
	At    uint64        `msgpack:"at"`
	Age   time.Duration `msgpack:"age"`
	Items []Item        `msgpack:"-"`
	// Packed is what packItems makes of Items.
	Packed []byte `msgpack:"packed"`
	// Changes is set when the items are all that changed after the asker's
	// revision, removed ones among them. Else Keys lists every key there is, so
	// that the asker finds out what was removed.
	Changes bool     `msgpack:"changes"`
	Keys    []string `msgpack:"keys"`
	// Named are the versions that were named, replaced ones too: the store
	// holds only the newest, and the bound of the one before may end first.
	Named []naming.Statement `msgpack:"named"`
	// Away tells that the store is out of the sender's reach since Age.
	Away bool `msgpack:"away"`
	// Lost tells that the last call of the sender to the store failed.
	Lost bool `msgpack:"lost"`
	Last bool `msgpack:"last"`
}

// Kind names the message.
func (*tell) Kind() frame.Kind { return "factsTell" }

// Check reports the first field that is out of its domain.
func (t *tell) Check() error {
	for i := range t.Named {
		if err := t.Named[i].Check(); err != nil {
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

// awaitNews returns once there is more than the asker holds, the store is lost, or
// the asker's wait is over.
func (f *Feed) awaitNews(ctx context.Context, q *ask) {
	if q.Wait <= 0 {
		return
	}
	over := f.Clock.After(q.Wait)
	for {
		changed := f.Changed()
		if f.Current().Revision > q.After || f.lostStore() {
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
	t := &tell{Known: f.known, At: f.revision, Age: max(0, f.Awake()-f.confirmed), Named: f.namings.Statements(f.Awake()), Away: f.contact().Away(f.ranSince), Lost: f.lost}
	if !f.known || f.revision <= q.After {
		t.Last = true
		return []*tell{t}
	}
	changes := f.gone.since(q.After)
	var out []*tell
	size := 0
	for key, it := range f.items {
		if !changes {
			t.Keys = append(t.Keys, key)
		}
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
	if changes {
		t.Items = append(t.Items, f.gone.after(q.After)...)
	}
	t.Changes, t.Last = changes, true
	return append(out, t)
}
