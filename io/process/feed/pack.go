package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxUnpacked bounds the items of one message once they are unpacked, in bytes:
// a part holds about tellBytes of them, and one item up to a megabyte.
const maxUnpacked = 4 << 20

// packers are kept between messages: each holds the tables of its algorithm.
var packers = sync.Pool{New: func() any {
	// The level is one of the package's own, so that this cannot fail.
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// packItems writes items compressed. Their values are JSON that repeats itself;
// when all machines start, each side is told all of them, and unpacked they fill
// the links between regions for longer than a process waits.
func packItems(items []Item) ([]byte, error) {
	if len(items) == 0 {
		return nil, nil
	}
	var b bytes.Buffer
	w, ok := packers.Get().(*flate.Writer)
	if !ok {
		return nil, errors.AssertionFailedf("packers hold something else")
	}
	defer packers.Put(w)
	w.Reset(&b)
	if err := msgpack.NewEncoder(w).Encode(items); err != nil {
		return nil, errors.Wrap(err, "pack items")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack items")
	}
	return b.Bytes(), nil
}

// unpackItems reads what packItems wrote.
func unpackItems(b []byte) ([]Item, error) {
	if len(b) == 0 {
		return nil, nil
	}
	r := flate.NewReader(bytes.NewReader(b))
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack items")
	}
	if len(raw) > maxUnpacked {
		return nil, errors.Newf("items are over %d bytes", maxUnpacked)
	}
	var items []Item
	if err := msgpack.Unmarshal(raw, &items); err != nil {
		return nil, errors.Wrap(err, "read items")
	}
	return items, nil
}
