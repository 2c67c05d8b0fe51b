package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/table"
)

// ErrHistory is returned by a watch whose starting point the store has
// dropped; everything has to be listed anew.
var ErrHistory = errors.New("the store no longer has this history")

// Item is one key of the store. Deleted marks one that was removed at
// Revision; it has no value.
type Item struct {
	Key      string `msgpack:"key"`
	Value    []byte `msgpack:"value"`
	Revision uint64 `msgpack:"revision"`
	Deleted  bool   `msgpack:"deleted,omitempty"`
}

// Page is one page of a list. At is the store's revision when it was read.
type Page struct {
	Items []Item
	More  bool
	At    uint64
}

// Changes are what a watch brought; the next one goes on from At.
type Changes struct {
	Items []Item
	At    uint64
}

// Store is the platform's store. Both calls return within their context.
type Store interface {
	List(ctx context.Context, after string) (Page, error)
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}

// Fact is what one item says. At most one field is set; none is for an item
// that is not the system's concern.
type Fact struct {
	Config  *Config
	Target  *facts.Target
	Version *facts.Named
}

// Config is the operator's configuration with the origin that it names.
type Config struct {
	Table  *table.Table
	Origin facts.Origin
}

// Reader decodes items. An error means that the item is not usable.
type Reader interface {
	Read(it Item) (Fact, error)
}
