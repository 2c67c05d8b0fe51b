// Package adapt connects engines and origins that identify chunks by model, version and
// number with the distribution of weights, which identifies them by digest.
// io/process/hosted builds an Adapter and a ManifestReader for the side, the process
// beside one engine. io/version/swarm stages chunks through the Adapter and reads them
// from the origin with it; io/version/order has it load a version. The ManifestReader
// reads the manifests. Package platform implements Engine and Origin.
//
// The Adapter keeps the verified chunks of the version being distributed in memory, since
// a staged chunk may become corrupt at the engine.
package adapt

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
)

// Limits of calls to the origin and the engine.
const (
	// originTimeout bounds the read of one chunk from the origin. About fifty sides may
	// share a link on which one chunk alone takes tens of milliseconds.
	originTimeout = 3 * time.Second
	// engineStartTimeout bounds the wait for an engine that starts at the same time as
	// its side.
	engineStartTimeout = 4 * time.Second
	// enginePollInterval is the pause between two requests to an engine that does not
	// answer.
	enginePollInterval = 50 * time.Millisecond
	// maxCorruptChunks is after how many corrupt chunks from the origin the manifest
	// rather than the chunks is taken to be corrupt.
	maxCorruptChunks = 12
)

// KnownVersion is one version of a model whose manifest is known. Digest is that of the
// encoded manifest.
type KnownVersion struct {
	Model    string
	Version  uint64
	Digest   chunk.Digest
	Manifest chunk.Manifest
	encoded  []byte
}

// Adapter adapts one engine and one origin to chunks that are identified by digest, for
// the versions whose manifests have been added. Set the exported fields before the first
// call.
type Adapter struct {
	Clock  clockwork.Clock
	Log    trail.Log
	Engine Engine
	Origin Origin
	// Uptime is a clock that also counts the time in which the machine was suspended; a
	// chunk may become corrupt in that time. Nil stands for uptime.Now.
	Uptime func() time.Duration
	// OnLoading, if set, is called with true before an order is given and with false
	// afterwards.
	OnLoading func(bool)

	// stagingMu is held while the staged chunks must not change: an engine that is
	// ordered to load takes the chunks that are staged when it accepts the order.
	stagingMu sync.Mutex
	// noOrderPending is set while no order can still be on its way to the engine;
	// guarded by stagingMu. It is unset at the start, since the process does not know
	// what its predecessor ordered.
	noOrderPending bool

	mu sync.Mutex
	// versions is sorted by version.
	versions []*KnownVersion
	// chunks are the verified chunks kept in memory.
	chunks map[chunk.Digest][]byte
	// lastSeen is the chunk that this process last staged or verified at each number of
	// the engine.
	lastSeen map[int]chunk.Digest
	// corruptChunks counts the corrupt chunks from the origin since a manifest was last
	// added.
	corruptChunks int
}

// maxVersions bounds the known versions: the one served, the one being distributed and
// the one announced meanwhile.
const maxVersions = 4

// AddManifest adds the manifest of a version, or replaces it, and returns the version.
// If there are too many versions the lowest is dropped.
func (a *Adapter) AddManifest(m chunk.Manifest, model string, version uint64) (*KnownVersion, error) {
	raw, err := m.Encode()
	if err != nil {
		return nil, err
	}
	e := &KnownVersion{Model: model, Version: version, Digest: chunk.DigestOf(raw), Manifest: m, encoded: raw}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.corruptChunks = 0
	kept := a.versions[:0]
	for _, old := range a.versions {
		if old.Model != model || old.Version != version {
			kept = append(kept, old)
		}
	}
	a.versions = append(kept, e)
	slices.SortFunc(a.versions, func(x, y *KnownVersion) int { return cmp.Compare(x.Version, y.Version) })
	if len(a.versions) > maxVersions {
		a.versions = a.versions[1:]
	}
	return e, nil
}

// FindVersion returns a version, if its manifest has been added.
func (a *Adapter) FindVersion(model string, version uint64) (*KnownVersion, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.versions {
		if e.Model == model && e.Version == version {
			return e, true
		}
	}
	return nil, false
}

// ManifestsDoubtful reports whether so many chunks from the origin did not match the manifests
// that these may be corrupt and must be read again.
func (a *Adapter) ManifestsDoubtful() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.corruptChunks >= maxCorruptChunks
}

// position is the version and number under which an engine and an origin identify a
// chunk.
type position struct {
	model   string
	version uint64
	num     int
	size    int64
}

// positionsOf returns the positions of a chunk in the latest version that contains it. A
// version may have the same bytes at several numbers.
func (a *Adapter) positionsOf(d chunk.Digest) []position {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.versions) - 1; i >= 0; i-- {
		var out []position
		e := a.versions[i]
		for num, ref := range e.Manifest.Chunks {
			if ref.Digest == d {
				out = append(out, position{model: e.Model, version: e.Version, num: num, size: ref.Size})
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// errUnknownChunk is returned for a chunk that is in no known version.
var errUnknownChunk = errors.New("no known version has the chunk")

// Manifest returns the added manifest with digest d and its encoded form.
func (a *Adapter) Manifest(_ context.Context, d chunk.Digest) (chunk.Manifest, []byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.versions {
		if e.Digest == d {
			return e.Manifest, e.encoded, nil
		}
	}
	return chunk.Manifest{}, nil, operr.Errorf("find manifest", "", "manifest %s has not been read", d)
}

// Chunk reads a chunk from the origin and verifies its digest.
func (a *Adapter) Chunk(ctx context.Context, ref chunk.Ref, progress func(n int)) ([]byte, error) {
	positions := a.positionsOf(ref.Digest)
	if len(positions) == 0 {
		return nil, operr.Wrap("read chunk", "origin", errUnknownChunk)
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	p := positions[0]
	b, err := a.Origin.ReadChunk(ctx, p.model, p.version, p.num, ref.Size, progress)
	if err != nil {
		return nil, operr.Wrap("read chunk", "origin", err)
	}
	if got := chunk.DigestOf(b); got != ref.Digest {
		a.mu.Lock()
		a.corruptChunks++
		a.mu.Unlock()
		return nil, operr.Errorf("verify chunk", "origin", "digest %s, want %s", got, ref.Digest)
	}
	return b, nil
}
