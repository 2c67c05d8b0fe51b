package gossip

import (
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
)

// Bounds of a state, so that a peer cannot make a process hold more.
const (
	MaxItems = 1 << 16
	MaxBody  = 64 << 10
	MaxBytes = 16 << 20
	maxName  = 256
)

// Item is one part of a state that changes by itself: a section of the
// document or one VM.
type Item struct {
	Name string `msgpack:"n"`
	Body []byte `msgpack:"b"`

	sum Sum
}

// NewItem returns an item with its digest.
func NewItem(name string, body []byte) Item {
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(name)))
	return Item{Name: name, Body: body, sum: sumOf(size[:], []byte(name), body)}
}

// Sum is the digest of the item's name and body.
func (i Item) Sum() Sum { return i.sum }

// State is one state of a topic; it is never changed. Items are sorted by
// name and each name stands once.
type State struct {
	Mark  Mark
	Items []Item
}

// NewState returns the state of the given version with the items.
func NewState(version uint64, items []Item) (State, error) {
	sorted := items
	if !slices.IsSortedFunc(items, compareItems) {
		sorted = slices.Clone(items)
		slices.SortFunc(sorted, compareItems)
	}
	if err := checkItems(sorted); err != nil {
		return State{}, err
	}
	return State{Mark: Mark{Version: version, Sum: sumItems(sorted)}, Items: sorted}, nil
}

func sumItems(items []Item) Sum {
	all := make([]byte, 0, len(items)*sumSize)
	for _, it := range items {
		all = append(all, it.sum[:]...)
	}
	return sumOf(all)
}

func checkItems(sorted []Item) error {
	if len(sorted) > MaxItems {
		return errors.Newf("%d items, want at most %d", len(sorted), MaxItems)
	}
	size := 0
	for i, it := range sorted {
		if it.Name == "" || len(it.Name) > maxName || len(it.Body) > MaxBody {
			return errors.Newf("item %.40q: name or body is out of bounds", it.Name)
		}
		if i > 0 && sorted[i-1].Name == it.Name {
			return errors.Newf("item %q stands twice", it.Name)
		}
		size += len(it.Name) + len(it.Body)
	}
	if size > MaxBytes {
		return errors.Newf("%d bytes, want at most %d", size, MaxBytes)
	}
	return nil
}

// Delta leads from one state of a topic to another. A From of version 0
// stands for the empty state, so that the delta is the whole. A delta that
// does not fit one message is sent in several; More says that others follow.
type Delta struct {
	Topic Topic    `msgpack:"t"`
	From  Mark     `msgpack:"f"`
	To    Mark     `msgpack:"o"`
	Put   []Item   `msgpack:"p"`
	Drop  []string `msgpack:"d"`
	More  bool     `msgpack:"m"`
}

// Check reports the first field that is out of its domain.
func (d *Delta) Check() error {
	if err := d.Topic.Check(); err != nil {
		return err
	}
	if len(d.Put) > MaxItems || len(d.Drop) > MaxItems {
		return errors.Newf("delta of %d and %d items, want at most %d", len(d.Put), len(d.Drop), MaxItems)
	}
	return nil
}

// size is about the bytes that the delta takes in memory.
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

// diff returns the delta from a to b; both are sorted.
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
			if a.Items[i-1].sum == it.sum {
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

// apply returns the state to which d leads from s. A delta whose result has
// another digest than it names is refused: applied to a state that it was
// not made from, it would give a document that no operator wrote.
func apply(s State, d Delta) (State, error) {
	base := State{}
	if d.From.Version != 0 {
		if d.From != s.Mark {
			return State{}, errors.Newf("delta is from version %d (%v), held is %d (%v)", d.From.Version, d.From.Sum, s.Mark.Version, s.Mark.Sum)
		}
		base = s
	}
	items := merge(base.Items, d)
	next, err := NewState(d.To.Version, items)
	if err != nil {
		return State{}, err
	}
	if next.Mark != d.To {
		return State{}, errors.Newf("delta to version %d gives %v, want %v", d.To.Version, next.Mark.Sum, d.To.Sum)
	}
	return next, nil
}

// merge returns the items of a sorted base with those of d put and dropped.
func merge(base []Item, d Delta) []Item {
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
