package spread

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/version/chunk"
)

// Guards against announcements that are dropped because this side has not read the
// manifest yet, as on a busy machine. Each chunk is announced once per connection, so
// the side waited a minute for a chunk that its neighbour held and offered, and then
// fetched it from the origin again.
func TestAnnouncementsBeforeManifestAreKept(t *testing.T) {
	m := chunk.Manifest{Model: "m", Version: "1"}
	for _, text := range []string{"a", "b", "c"} {
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: chunk.DigestOf([]byte(text)), Size: 1})
		m.Size++
	}
	id := chunk.DigestOf([]byte("manifest"))
	self, peer := Member{Name: "self", Region: "r"}, Member{Name: "peer", Region: "r"}
	now := time.Unix(1000, 0)
	s := New(Config{Self: self, OriginRegion: "r"})
	s.PeerConnected(now, peer)
	s.ChunkSetsReceived(now, peer.Name, id, Bits{0b001}, Bits{0b001})
	s.AnnounceReceived(now, peer.Name, id, []int{1}, []int{1, 2})
	actions := s.Update(now, []WantedVersion{{ID: id, Manifest: m, Members: []Member{self, peer}}})
	for _, a := range actions {
		if f, ok := a.(Fetch); ok {
			t.Errorf("chunk %s is fetched via %s although the region holds it", f.Chunk.Digest, f.Via)
		}
	}
	var got []chunk.Digest
	for range 2 {
		for _, a := range s.OfferReceived(now, peer.Name) {
			if f, ok := a.(Fetch); ok && f.Via == ViaTrade {
				got = append(got, f.Chunk.Digest)
			}
		}
	}
	if diff := cmp.Diff(2, len(got)); diff != "" {
		t.Errorf("chunks taken from the neighbour's offers (-want +got):\n%s", diff)
	}
}
