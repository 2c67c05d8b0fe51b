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

// The origin spoils the first answer to each chunk. Whatever the way, the
// step and the peer are logged, nothing unverified is staged, and a later try
// brings the chunk.
func TestOriginSpoilsFirstAnswers(t *testing.T) {
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
			p := newPlatform(t)
			d := p.publish(t, "1", 8<<10, seq(0, 6)...)
			p.answer = func(w http.ResponseWriter, d chunk.Digest, k int) bool {
				if k == 1 {
					tc.spoil(w, p.chunks[d])
				}
				return k == 1
			}
			c := newCluster(t, p, "r1", "r1", "r2")
			c.want(d, c.nodes...)
			c.awaitWhole(c.nodes...)
			c.checkStaged(d, c.nodes...)
			checkLogged(t, c, "transfer chunk", "origin")
		})
	}
}

func checkLogged(t *testing.T, c *cluster, step, peer string) {
	t.Helper()
	for _, e := range c.logs.AllEntries() {
		if e.Level == logrus.ErrorLevel && e.Data["step"] == step && e.Data["peer"] == peer {
			return
		}
	}
	t.Errorf("no logged error of step %q with peer %q", step, peer)
}

// The store first sends a manifest that does not have the pinned digest. It
// is refused and logged; the right one is read later.
func TestWrongManifestIsRefused(t *testing.T) {
	p := newPlatform(t)
	d := p.publish(t, "1", 1<<10, seq(0, 4)...)
	right := p.manifests[d]
	wrong := 0
	p.manifest = func(w http.ResponseWriter) bool {
		wrong++
		if wrong == 1 {
			w.Write(append(slices.Clone(right), ' '))
		}
		return wrong == 1
	}
	c := newCluster(t, p, "r1")
	c.want(d, c.nodes...)
	c.awaitWhole(c.nodes...)
	checkLogged(t, c, "read manifest", p.addr().String())
}

// badStaging gives back chunks with a bit flipped.
type badStaging struct{ stage.Memory }

func (s *badStaging) Get(ctx context.Context, d chunk.Digest) ([]byte, error) {
	b, err := s.Memory.Get(ctx, d)
	b = slices.Clone(b)
	if len(b) > 0 {
		b[0] ^= 1
	}
	return b, err
}

// A side's engine has corrupted what was staged; the side reads it back for
// every upload. Its peers find each chunk corrupt, log it with the side's
// name, stage nothing of it and get whole from elsewhere.
func TestPeerSendsCorruptChunks(t *testing.T) {
	p := newPlatform(t)
	d := p.publish(t, "1", 8<<10, seq(0, 12)...)
	c := newClusterWith(t, p, 50*time.Millisecond, "r1", "r1", "r1")
	bad := c.nodes[1]
	bad.Staging = &badStaging{}
	bad.cache.max = 1
	c.want(d, c.nodes...)
	good := []*Node{c.nodes[0], c.nodes[2]}
	c.awaitWhole(good...)
	c.checkStaged(d, good...)
	checkLogged(t, c, "transfer chunk", bad.Self.VM.Name)
}

// A side dies while the version spreads. The others end whole: its transfers
// end with its connections and the next in rank steps in for its chunks.
func TestSideDiesMidway(t *testing.T) {
	p := newPlatform(t)
	d := p.publish(t, "1", 64<<10, seq(0, 30)...)
	c := newClusterWith(t, p, 50*time.Millisecond, "r1", "r1", "r1", "r2", "r2")
	dying := c.vms[1].Name
	p.answer = func(_ http.ResponseWriter, _ chunk.Digest, _ int) bool {
		p.once.Do(func() { go c.stops[1]() })
		return false
	}
	c.want(d, c.nodes...)
	living := slices.DeleteFunc(slices.Clone(c.nodes), func(n *Node) bool { return n.Self.VM.Name == dying })
	c.awaitWhole(living...)
	c.checkStaged(d, living...)
}

// A side is replaced: the new process finds in the engine's staging area what
// the old one left, one chunk of it spoiled. What verifies is not drawn again.
func TestNewProcessKeepsWhatIsStaged(t *testing.T) {
	p := newPlatform(t)
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
	c.want(d, c.nodes...)
	c.awaitWhole(c.nodes...)
	c.checkStaged(d, c.nodes...)
	if diff := cmp.Diff(map[chunk.Digest]int{m.Chunks[3].Digest: 1}, p.drawn); diff != "" {
		t.Errorf("drawn (-want +got):\n%s", diff)
	}
}

// The next version shares half its chunks with the one that is held. Only the
// new half is drawn, and what no version wants any more is dropped from the
// staging area.
func TestNextVersionDrawsOnlyWhatIsNew(t *testing.T) {
	p := newPlatform(t)
	one := p.publish(t, "1", 4<<10, seq(0, 10)...)
	two := p.publish(t, "2", 4<<10, seq(5, 10)...)
	c := newCluster(t, p, "r1", "r1")
	c.want(one, c.nodes...)
	c.awaitWhole(c.nodes...)
	c.want(two, c.nodes...)
	c.awaitWhole(c.nodes...)
	c.checkStaged(two, c.nodes...)
	if diff := cmp.Diff(15, p.draws()); diff != "" {
		t.Errorf("chunks drawn (-want +got):\n%s", diff)
	}
}
