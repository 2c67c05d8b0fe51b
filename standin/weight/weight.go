// Package weight is a stand-in for the weight store, which serves manifests, and
// for the origin, which serves chunks. The bytes of a version are computed from
// its seed for each request and aren't stored. The weights command of standin
// runs both.
package weight

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/version/chunk"
)

// Limits of a catalog: the bytes of one version, which are all generated when
// it is added, and the number of versions.
const (
	maxSize     = 1 << 34
	maxVersions = 1024
)

// Spec is the request for a new version. When ShareWith, the manifest digest of
// an earlier version, is set, the new version has that version's first Shared
// chunks as its own first chunks, which must have the same sizes; Shared 0
// means half of the new version's chunks.
type Spec struct {
	Model     string       `json:"model"`
	Version   string       `json:"version"`
	Size      int64        `json:"size"`
	ChunkSize int64        `json:"chunkSize"`
	Seed      uint64       `json:"seed"`
	ShareWith chunk.Digest `json:"shareWith"`
	Shared    int          `json:"shared"`
}

// chunkSource is the input from which a chunk's bytes are generated.
type chunkSource struct {
	Seed  uint64
	Index int
	Size  int64
}

// generate returns the chunk's bytes, which are the same each time.
func (s chunkSource) generate() []byte {
	var in [16]byte
	binary.BigEndian.PutUint64(in[:8], s.Seed)
	binary.BigEndian.PutUint64(in[8:], uint64(s.Index))
	b := make([]byte, s.Size)
	_, _ = rand.NewChaCha8(sha256.Sum256(in[:])).Read(b)
	return b
}

// Catalog holds the versions that were added: their manifests and the source of
// each chunk.
type Catalog struct {
	mu        sync.Mutex
	manifests map[chunk.Digest][]byte
	sources   map[chunk.Digest]chunkSource
	layouts   map[chunk.Digest][]chunkSource
}

// Add adds a version and returns its manifest's digest and its number of
// chunks.
func (s *Catalog) Add(spec Spec) (chunk.Digest, int, error) {
	layout, err := s.planChunks(spec)
	if err != nil {
		return "", 0, err
	}
	m := buildManifest(spec, layout)
	if err := m.Check(); err != nil {
		return "", 0, err
	}
	b, err := m.Encode()
	if err != nil {
		return "", 0, err
	}
	return s.store(m, b, layout)
}

// planChunks returns the sources of the version's chunks in order.
func (s *Catalog) planChunks(spec Spec) ([]chunkSource, error) {
	if spec.Size <= 0 || spec.Size > maxSize {
		return nil, errors.Newf("size %d: want 1 to %d bytes", spec.Size, int64(maxSize))
	}
	if spec.ChunkSize <= 0 || spec.ChunkSize > chunk.MaxChunkSize {
		return nil, errors.Newf("chunkSize %d: want 1 to %d bytes", spec.ChunkSize, chunk.MaxChunkSize)
	}
	var out []chunkSource
	for offset := int64(0); offset < spec.Size; offset += spec.ChunkSize {
		size := min(spec.ChunkSize, spec.Size-offset)
		out = append(out, chunkSource{Seed: spec.Seed, Index: len(out), Size: size})
	}
	return out, s.reuseChunks(spec, out)
}

// reuseChunks replaces the first sources by those of the version ShareWith.
func (s *Catalog) reuseChunks(spec Spec, layout []chunkSource) error {
	if spec.ShareWith == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier, ok := s.layouts[spec.ShareWith]
	if !ok {
		return errors.Newf("shareWith %s: no such version", spec.ShareWith)
	}
	n := spec.Shared
	if n == 0 {
		n = len(layout) / 2
	}
	for i := range min(n, len(layout), len(earlier)) {
		if layout[i].Size != earlier[i].Size {
			return errors.Newf("shareWith %s: chunk %d has another size", spec.ShareWith, i)
		}
		layout[i] = earlier[i]
	}
	return nil
}

// buildManifest generates every chunk to compute the digests.
func buildManifest(spec Spec, layout []chunkSource) chunk.Manifest {
	m := chunk.Manifest{Model: spec.Model, Version: spec.Version, Size: spec.Size}
	contentHash := sha256.New()
	for _, src := range layout {
		b := src.generate()
		_, _ = contentHash.Write(b)
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: chunk.DigestOf(b), Size: src.Size})
	}
	m.ContentDigest = chunk.Digest("sha256:" + hex.EncodeToString(contentHash.Sum(nil)))
	return m
}

func (s *Catalog) store(m chunk.Manifest, b []byte, layout []chunkSource) (chunk.Digest, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.manifests == nil {
		s.manifests = map[chunk.Digest][]byte{}
		s.sources = map[chunk.Digest]chunkSource{}
		s.layouts = map[chunk.Digest][]chunkSource{}
	}
	if len(s.manifests) >= maxVersions {
		return "", 0, errors.Newf("more than %d versions", maxVersions)
	}
	d := chunk.DigestOf(b)
	s.manifests[d] = b
	s.layouts[d] = layout
	for i, c := range m.Chunks {
		s.sources[c.Digest] = layout[i]
	}
	return d, len(m.Chunks), nil
}

// Manifest returns the canonical bytes of a manifest.
func (s *Catalog) Manifest(d chunk.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.manifests[d]
	return b, ok
}

// Chunk generates the bytes of a chunk.
func (s *Catalog) Chunk(d chunk.Digest) ([]byte, bool) {
	s.mu.Lock()
	src, ok := s.sources[d]
	s.mu.Unlock()
	if !ok {
		return nil, false
	}
	return src.generate(), true
}
