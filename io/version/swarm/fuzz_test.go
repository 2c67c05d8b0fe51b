package swarm

import (
	"bytes"
	"testing"

	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/frame"
)

// FuzzMessages decodes what a peer may send on a connection for weights:
// every message that is returned keeps to its bounds.
func FuzzMessages(f *testing.F) {
	d := chunk.Sum([]byte("a"))
	id := transferID{Chunk: d, Number: 3}
	seeds := []frame.Message{
		&maps{Manifest: d, Have: burst.Bits{1}, Seen: burst.Bits{3}},
		&news{Manifest: d, Have: []int{1}, Seen: []int{2, 3}},
		&offer{},
		&want{transferID: id, Offset: 4, Length: 8},
		&block{transferID: id, Offset: 4, Data: []byte{1, 2}},
		&lacks{transferID: id},
		&later{transferID: id},
		&drop{transferID: id},
		&askManifest{Manifest: d},
		&part{Manifest: d, Offset: 1, Total: 9, Data: []byte{1, 2}},
	}
	for _, m := range seeds {
		var buf bytes.Buffer
		if err := frame.NewWriter(&buf).Write(m, 1); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, _, err := frame.NewReader(bytes.NewReader(b), kinds()).Read()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *want:
			if m.Length <= 0 || m.Offset < 0 || m.Offset+m.Length > chunk.MaxChunkSize {
				t.Errorf("want out of bounds: %+v", m)
			}
		case *block:
			if len(m.Data) == 0 || m.Offset < 0 || m.Offset+int64(len(m.Data)) > chunk.MaxChunkSize {
				t.Errorf("block out of bounds: offset %d, %d bytes", m.Offset, len(m.Data))
			}
		case *news:
			for _, i := range append(m.Have, m.Seen...) {
				if i < 0 || i >= chunk.MaxChunks {
					t.Errorf("index %d out of bounds", i)
				}
			}
		}
	})
}
