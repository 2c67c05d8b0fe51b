package feed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// When all machines start at once, every side is sent all items over the links
// between regions. Uncompressed, those of a hundred targets would fill the
// links for longer than a process waits for them.
func TestPackedItemsAreSmall(t *testing.T) {
	var items []Item
	size := 0
	for i := range 100 {
		v := fmt.Appendf(nil, `{"backend":"helper","address":"10.1.0.%d:8683","zone":"freo-shed","version":"v1","slots":16,`+
			`"state":"ready","warmup_left_ms":0,"seq_no":%d,"models":[{"name":"m","version":2,"adapters":[]}]}`, i, i)
		items = append(items, Item{Key: fmt.Sprintf("servers/i-%06x", i*7919), Value: v, Revision: uint64(i)})
		size += len(v)
	}
	b, err := packItems(items)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > size/4 {
		t.Errorf("%d bytes of items take %d bytes packed, want a quarter at most", size, len(b))
	}
	got, err := unpackItems(b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(items, got); diff != "" {
		t.Errorf("items (-want +got):\n%s", diff)
	}
}

// A broken or malicious peer may send a few bytes that unpack to gigabytes.
func TestUnpackIsBounded(t *testing.T) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(make([]byte, 2*maxUnpacked)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := unpackItems(b.Bytes()); err == nil {
		t.Error("items over the limit were accepted")
	}
	if _, err := unpackItems([]byte("nonsense")); err == nil {
		t.Error("invalid data was accepted")
	}
}
