package swarm

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/frame"
)

// FuzzMessages decodes arbitrary bytes from a peer: every message that is
// accepted must be within its limits.
func FuzzMessages(f *testing.F) {
	d := chunk.DigestOf([]byte("a"))
	id := transferID{Chunk: d, Number: 3}
	seeds := []frame.Message{
		&chunkSets{Manifest: d, Have: spread.Bits{1}, HeldInRegion: spread.Bits{3}},
		&chunkUpdate{Manifest: d, Have: []int{1}, HeldInRegion: []int{2, 3}},
		&offer{},
		&blockRequest{transferID: id, Offset: 4, Length: 8},
		&block{transferID: id, Offset: 4, Data: []byte{1, 2}},
		&refuseRequest{transferID: id},
		&deferRequest{transferID: id},
		&cancelTransfer{transferID: id},
		&manifestRequest{Manifest: d},
		&manifestPart{Manifest: d, Offset: 1, Total: 9, Data: []byte{1, 2}},
	}
	for _, m := range seeds {
		var buf bytes.Buffer
		if err := frame.NewWriter(&buf).Write(m, 1); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, _, err := frame.NewReader(bytes.NewReader(b), messageKinds()).Read()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *blockRequest:
			if m.Length <= 0 || m.Offset < 0 || m.Offset+m.Length > chunk.MaxChunkSize {
				t.Errorf("block request out of bounds: %+v", m)
			}
		case *block:
			if len(m.Data) == 0 || m.Offset < 0 || m.Offset+int64(len(m.Data)) > chunk.MaxChunkSize {
				t.Errorf("block out of bounds: offset %d, %d bytes", m.Offset, len(m.Data))
			}
		case *chunkUpdate:
			for _, i := range append(m.Have, m.HeldInRegion...) {
				if i < 0 || i >= chunk.MaxChunks {
					t.Errorf("index %d out of bounds", i)
				}
			}
		}
	})
}

// Guards against a message that lacks fields and takes those of the block decoded before it.
func TestRecycledBlockKeepsNoFields(t *testing.T) {
	b := &block{transferID: transferID{Chunk: chunk.DigestOf(nil), Number: 3}, Offset: 5, Data: []byte("bytes")}
	b.recycle()
	if diff := cmp.Diff(&block{Data: []byte{}}, b, cmp.AllowUnexported(block{})); diff != "" {
		t.Errorf("recycled block (-want +got):\n%s", diff)
	}
}
