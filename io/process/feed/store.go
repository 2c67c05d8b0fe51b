package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/table"
)

// errNewEpoch is returned for an answer of another epoch than the calls before it.
var errNewEpoch = errors.New("the store was restored from an older copy")

// ErrHistoryLost is returned by a watch if the store no longer has the changes
// after the given revision; everything has to be listed again.
var ErrHistoryLost = errors.New("the store no longer has this history")

// Item is one key of the store. Deleted marks a key that was removed at
// Revision; it has no value. From a Store, Revision is the store's own count; in a Feed
// and between peers it includes the epoch (package epoch).
type Item struct {
	Key      string `msgpack:"key"`
	Value    []byte `msgpack:"value"`
	Revision uint64 `msgpack:"revision"`
	Deleted  bool   `msgpack:"deleted,omitempty"`
}

// Page is one page of a list. AtRevision is the store's own count when it was
// read, and Epoch rises each time the store is restored from an older copy.
type Page struct {
	Items      []Item
	More       bool
	AtRevision uint64
	Epoch      uint64
}

// Changes is the result of a watch; the next watch of the same Epoch continues after
// AtRevision.
type Changes struct {
	Items      []Item
	AtRevision uint64
	Epoch      uint64
}

// Store is the platform's store. Both calls return once their context ends. Watch takes
// the store's own count.
type Store interface {
	List(ctx context.Context, after string) (Page, error)
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}

// ItemKind is what an item describes. Its key alone determines it.
type ItemKind string

// The kinds of items that the system uses, as in DecodedItem.
const (
	KindConfig     ItemKind = "configuration"
	KindTarget     ItemKind = "target"
	KindVersion    ItemKind = "version"
	KindEvacuation ItemKind = "evacuation"
)

// DecodedItem is the decoded value of one item. At most one field is set; none is for
// an item that this system doesn't use. EvacuatedZone is a zone to which nothing may be
// sent while the item exists.
type DecodedItem struct {
	Config        *Config
	Target        *facts.Target
	Version       *facts.ModelVersion
	EvacuatedZone string
}

// Config is the operator's configuration and the origin that it names. Problems lists
// faults that do not prevent its use.
type Config struct {
	Table    *table.Table
	Origin   facts.Origin
	Problems []error
}

// Decoder decodes items. An error means that the item is not usable. Kind returns the empty
// kind for keys that the system doesn't use.
type Decoder interface {
	Kind(key string) ItemKind
	Decode(it Item) (DecodedItem, error)
}
