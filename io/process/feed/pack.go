package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"hawthornferry/io/conn/bound"
)

// maxUnpacked bounds the unpacked items of one message, in bytes: a part holds
// about replyPartBytes of them, and a single item may take a megabyte.
const maxUnpacked = 4 << 20

// compressors are reused between messages, since each allocates the tables of
// its algorithm.
var compressors = sync.Pool{New: func() any {
	// Fails only for an invalid level.
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// packItems encodes and compresses items. Their values are repetitive JSON.
// When all machines start, each side is sent all items, and uncompressed they
// would fill the links between regions for longer than a process waits.
func packItems(items []Item) ([]byte, error) {
	if len(items) == 0 {
		return nil, nil
	}
	var b bytes.Buffer
	w, ok := compressors.Get().(*flate.Writer)
	if !ok {
		return nil, errors.AssertionFailedf("compressor pool holds another type")
	}
	defer compressors.Put(w)
	w.Reset(&b)
	if err := msgpack.NewEncoder(w).Encode(items); err != nil {
		return nil, errors.Wrap(err, "pack items")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack items")
	}
	return b.Bytes(), nil
}

// unpackItems decodes the result of packItems.
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
		return nil, errors.Newf("unpacked items exceed %d bytes", maxUnpacked)
	}
	if err := bound.CheckShape(raw, 1); err != nil {
		return nil, errors.Wrap(err, "read items")
	}
	var items []Item
	if err := msgpack.Unmarshal(raw, &items); err != nil {
		return nil, errors.Wrap(err, "read items")
	}
	return items, nil
}
