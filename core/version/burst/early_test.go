package burst

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/version/chunk"
)

// A side waits a minute for a chunk that its neighbour holds and offers, and
// then draws it from the origin once more: the neighbour told of the chunk
// while this side had not read the manifest yet, as on a busy machine. Each
// chunk is told once on a connection, so that news must be kept.
func TestNewsBeforeTheManifestIsKept(t *testing.T) {
	m := chunk.Manifest{Model: "m", Version: "1"}
	for _, text := range []string{"a", "b", "c"} {
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: chunk.Sum([]byte(text)), Size: 1})
		m.Size++
	}
	id := chunk.Sum([]byte("manifest"))
	self, peer := Member{Name: "self", Region: "r"}, Member{Name: "peer", Region: "r"}
	now := time.Unix(1000, 0)
	s := New(Config{Self: self, OriginRegion: "r"})
	s.Connected(now, peer)
	s.Greeted(now, peer.Name, id, Bits{0b001}, Bits{0b001})
	s.Announced(now, peer.Name, id, []int{1}, []int{1, 2})
	actions := s.Update(now, []Set{{ID: id, Manifest: m, Members: []Member{self, peer}}})
	for _, a := range actions {
		if f, ok := a.(Fetch); ok {
			t.Errorf("chunk %s is fetched by way of %s although the region holds it", f.Chunk.Digest, f.Via)
		}
	}
	var got []chunk.Digest
	for range 2 {
		for _, a := range s.Offered(now, peer.Name) {
			if f, ok := a.(Fetch); ok && f.Via == ViaTrade {
				got = append(got, f.Chunk.Digest)
			}
		}
	}
	if diff := cmp.Diff(2, len(got)); diff != "" {
		t.Errorf("chunks taken from the neighbour's offers (-want +got):\n%s", diff)
	}
}
