package gossip

import (
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
)

// Limits on the size of a state, which bound the memory that a peer can make a
// process use.
const (
	MaxItems = 1 << 16
	MaxBody  = 64 << 10
	MaxBytes = 16 << 20
	maxName  = 256
)

// Item is the unit in which a state changes: one section of the document or one
// VM.
type Item struct {
	Name string `msgpack:"n"`
	Body []byte `msgpack:"b"`

	digest Digest
}

// NewItem returns an item with its digest computed.
func NewItem(name string, body []byte) Item {
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(name)))
	return Item{Name: name, Body: body, digest: digestOf(size[:], []byte(name), body)}
}

// Digest returns the digest of the item's name and body.
func (i Item) Digest() Digest { return i.digest }

// State is an immutable state of a topic. Items are sorted by name, and names
// are unique.
type State struct {
	Mark  Mark
	Items []Item
}

// NewState returns the state with the given version and items.
func NewState(version uint64, items []Item) (State, error) {
	sorted := items
	if !slices.IsSortedFunc(items, compareItems) {
		sorted = slices.Clone(items)
		slices.SortFunc(sorted, compareItems)
	}
	if err := checkItems(sorted); err != nil {
		return State{}, err
	}
	return State{Mark: Mark{Version: version, Digest: digestItems(sorted)}, Items: sorted}, nil
}

func digestItems(items []Item) Digest {
	all := make([]byte, 0, len(items)*digestSize)
	for _, it := range items {
		all = append(all, it.digest[:]...)
	}
	return digestOf(all)
}

func checkItems(sorted []Item) error {
	if len(sorted) > MaxItems {
		return errors.Newf("state has %d items, want at most %d", len(sorted), MaxItems)
	}
	size := 0
	for i, it := range sorted {
		if it.Name == "" || len(it.Name) > maxName || len(it.Body) > MaxBody {
			return errors.Newf("item %.40q: name is empty, or name or body is too long", it.Name)
		}
		if i > 0 && sorted[i-1].Name == it.Name {
			return errors.Newf("item %q appears twice", it.Name)
		}
		size += len(it.Name) + len(it.Body)
	}
	if size > MaxBytes {
		return errors.Newf("state has %d bytes, want at most %d", size, MaxBytes)
	}
	return nil
}

// Delta is the difference between two states of a topic. If From has version 0,
// it stands for the empty state and the delta contains the whole state. A delta
// too large for one message is sent in several parts; More is set on all but
// the last.
type Delta struct {
	Topic Topic    `msgpack:"t"`
	From  Mark     `msgpack:"f"`
	To    Mark     `msgpack:"o"`
	Put   []Item   `msgpack:"p"`
	Drop  []string `msgpack:"d"`
	More  bool     `msgpack:"m"`
}

// Check returns an error for the first field that is out of range.
func (d *Delta) Check() error {
	if err := d.Topic.Check(); err != nil {
		return err
	}
	if len(d.Put) > MaxItems || len(d.Drop) > MaxItems {
		return errors.Newf("delta puts %d and drops %d items, want at most %d each", len(d.Put), len(d.Drop), MaxItems)
	}
	return nil
}

// size returns the approximate size of the delta in memory, in bytes.
func (d *Delta) size() int {
	n := 0
	for _, it := range d.Put {
		n += len(it.Name) + len(it.Body)
	}
	for _, name := range d.Drop {
		n += len(name)
	}
	return n
}

// diff returns the delta from a to b. Both must be sorted by name.
func diff(t Topic, a, b State) Delta {
	d := Delta{Topic: t, From: a.Mark, To: b.Mark}
	i := 0
	for _, it := range b.Items {
		for i < len(a.Items) && a.Items[i].Name < it.Name {
			d.Drop = append(d.Drop, a.Items[i].Name)
			i++
		}
		if i < len(a.Items) && a.Items[i].Name == it.Name {
			i++
			if a.Items[i-1].digest == it.digest {
				continue
			}
		}
		d.Put = append(d.Put, it)
	}
	for _, it := range a.Items[i:] {
		d.Drop = append(d.Drop, it.Name)
	}
	return d
}

// apply returns the state that results from applying d to s. It refuses a delta
// whose result has a digest other than announced: applied to a state that it
// was not computed from, a delta would yield a document that no operator wrote.
func apply(s State, d Delta) (State, error) {
	base := State{}
	if d.From.Version != 0 {
		if d.From != s.Mark {
			return State{}, errors.Newf("delta applies to version %d (%v), but version %d (%v) is held", d.From.Version, d.From.Digest, s.Mark.Version, s.Mark.Digest)
		}
		base = s
	}
	items := mergeItems(base.Items, d)
	next, err := NewState(d.To.Version, items)
	if err != nil {
		return State{}, err
	}
	if next.Mark != d.To {
		return State{}, errors.Newf("delta to version %d results in digest %v, want %v", d.To.Version, next.Mark.Digest, d.To.Digest)
	}
	return next, nil
}

// mergeItems returns the sorted items of base with the changes of d.
func mergeItems(base []Item, d Delta) []Item {
	put := make([]Item, 0, len(d.Put))
	changed := make(map[string]bool, len(d.Put)+len(d.Drop))
	for _, it := range d.Put {
		put = append(put, NewItem(it.Name, it.Body))
		changed[it.Name] = true
	}
	for _, name := range d.Drop {
		changed[name] = true
	}
	slices.SortFunc(put, compareItems)
	out := make([]Item, 0, len(base)+len(put))
	for _, it := range base {
		if changed[it.Name] {
			continue
		}
		for len(put) > 0 && put[0].Name < it.Name {
			out = append(out, put[0])
			put = put[1:]
		}
		out = append(out, it)
	}
	return append(out, put...)
}
