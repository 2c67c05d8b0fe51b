package swarm

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"hawthornferry/core/version/chunk"
	"hawthornferry/io/version/stage"
)

// The origin answers the first request for each chunk with a fault. The step
// and the peer must be logged, nothing unverified may be staged, and a later
// attempt must succeed.
func TestFirstOriginResponseIsFaulty(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(w http.ResponseWriter, b []byte)
	}{
		{"503", func(w http.ResponseWriter, _ []byte) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"429", func(w http.ResponseWriter, _ []byte) {
			w.Header().Set("Retry-After", "0")
			w.WriteHeader(http.StatusTooManyRequests)
		}},
		{"short", func(w http.ResponseWriter, b []byte) { w.Write(b[:len(b)-1]) }},
		{"too long", func(w http.ResponseWriter, b []byte) { w.Write(append(slices.Clone(b), 0)) }},
		{"corrupt", func(w http.ResponseWriter, b []byte) {
			b = slices.Clone(b)
			b[0] ^= 1
			w.Write(b)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := newFakeOrigin(t)
			d := p.publish(t, "1", 8<<10, seq(0, 6)...)
			p.answerChunk = func(w http.ResponseWriter, d chunk.Digest, k int) bool {
				if k == 1 {
					tc.spoil(w, p.chunks[d])
				}
				return k == 1
			}
			c := newCluster(t, p, "r1", "r1", "r2")
			c.setWanted(d, c.nodes...)
			c.awaitVerified(c.nodes...)
			c.checkStaged(d, c.nodes...)
			checkLogged(t, c, "transfer chunk", "origin")
		})
	}
}

// checkLogged fails the test unless an error with this step and peer was
// logged.
func checkLogged(t *testing.T, c *cluster, step, peer string) {
	t.Helper()
	for _, e := range c.logs.AllEntries() {
		if e.Level == logrus.ErrorLevel && e.Data["step"] == step && e.Data["peer"] == peer {
			return
		}
	}
	t.Errorf("no logged error of step %q with peer %q", step, peer)
}

// The store first sends a manifest with another digest than the one requested.
// It must be rejected and logged, and read again.
func TestManifestWithWrongDigestIsRejected(t *testing.T) {
	p := newFakeOrigin(t)
	d := p.publish(t, "1", 1<<10, seq(0, 4)...)
	right := p.manifests[d]
	wrong := 0
	p.answerManifest = func(w http.ResponseWriter) bool {
		wrong++
		if wrong == 1 {
			w.Write(append(slices.Clone(right), ' '))
		}
		return wrong == 1
	}
	c := newCluster(t, p, "r1")
	c.setWanted(d, c.nodes...)
	c.awaitVerified(c.nodes...)
	checkLogged(t, c, "read manifest", p.addr().String())
}

// corruptStaging returns every chunk with one bit flipped.
type corruptStaging struct{ stage.Memory }

func (s *corruptStaging) Get(ctx context.Context, d chunk.Digest) ([]byte, error) {
	b, err := s.Memory.Get(ctx, d)
	b = slices.Clone(b)
	if len(b) > 0 {
		b[0] ^= 1
	}
	return b, err
}

// The engine of one side has corrupted its staged chunks, and the side reads
// them back for every upload. Its peers must detect each corrupt chunk, log it
// with the name of that side, stage nothing of it and get the chunk from
// elsewhere.
func TestPeerSendsCorruptChunks(t *testing.T) {
	p := newFakeOrigin(t)
	d := p.publish(t, "1", 8<<10, seq(0, 12)...)
	c := newClusterWithTimeout(t, p, 50*time.Millisecond, "r1", "r1", "r1")
	bad := c.nodes[1]
	bad.Staging = &corruptStaging{}
	bad.cache.max = 1
	c.setWanted(d, c.nodes...)
	good := []*Node{c.nodes[0], c.nodes[2]}
	c.awaitVerified(good...)
	c.checkStaged(d, good...)
	checkLogged(t, c, "transfer chunk", bad.Self.VM.Name)
}

// A side stops while a version is being distributed. The other sides must
// still complete it: their transfers from that side end with the connection,
// and the next side in rank fetches its chunks.
func TestSideStopsMidway(t *testing.T) {
	p := newFakeOrigin(t)
	d := p.publish(t, "1", 64<<10, seq(0, 30)...)
	c := newClusterWithTimeout(t, p, 50*time.Millisecond, "r1", "r1", "r1", "r2", "r2")
	dying := c.vms[1].Name
	p.answerChunk = func(_ http.ResponseWriter, _ chunk.Digest, _ int) bool {
		p.stopOnce.Do(func() { go c.stops[1]() })
		return false
	}
	c.setWanted(d, c.nodes...)
	living := slices.DeleteFunc(slices.Clone(c.nodes), func(n *Node) bool { return n.Self.VM.Name == dying })
	c.awaitVerified(living...)
	c.checkStaged(d, living...)
}

// A side is replaced by a new process that finds the staged chunks of the old
// one, one of them damaged. Only the damaged one may be fetched again.
func TestNewProcessReusesStagedChunks(t *testing.T) {
	p := newFakeOrigin(t)
	d := p.publish(t, "1", 4<<10, seq(0, 10)...)
	c := newCluster(t, p, "r1")
	m, err := chunk.Decode(p.manifests[d], d)
	if err != nil {
		t.Fatal(err)
	}
	for i, ref := range m.Chunks {
		b := p.chunks[ref.Digest]
		if i == 3 {
			b = b[1:]
		}
		if err := c.nodes[0].Staging.Put(context.Background(), ref.Digest, b); err != nil {
			t.Fatal(err)
		}
	}
	c.setWanted(d, c.nodes...)
	c.awaitVerified(c.nodes...)
	c.checkStaged(d, c.nodes...)
	if diff := cmp.Diff(map[chunk.Digest]int{m.Chunks[3].Digest: 1}, p.chunkRequests); diff != "" {
		t.Errorf("requests for chunks (-want +got):\n%s", diff)
	}
}

// The next version shares half its chunks with the held one. Only the new half
// may be fetched. The test does not check that chunks of no wanted version are
// discarded.
func TestNextVersionFetchesOnlyNewChunks(t *testing.T) {
	p := newFakeOrigin(t)
	one := p.publish(t, "1", 4<<10, seq(0, 10)...)
	two := p.publish(t, "2", 4<<10, seq(5, 10)...)
	c := newCluster(t, p, "r1", "r1")
	c.setWanted(one, c.nodes...)
	c.awaitVerified(c.nodes...)
	c.setWanted(two, c.nodes...)
	c.awaitVerified(c.nodes...)
	c.checkStaged(two, c.nodes...)
	if diff := cmp.Diff(15, p.totalChunkRequests()); diff != "" {
		t.Errorf("chunks fetched (-want +got):\n%s", diff)
	}
}
