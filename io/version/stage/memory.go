package stage

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/version/chunk"
)

// Memory is a staging area in memory, for tests and bench/burst. The zero value is ready
// for use.
type Memory struct {
	mu     sync.Mutex
	chunks map[chunk.Digest][]byte
}

// List returns the digests of the staged chunks, sorted.
func (m *Memory) List(context.Context) ([]chunk.Digest, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]chunk.Digest, 0, len(m.chunks))
	for d := range m.chunks {
		out = append(out, d)
	}
	slices.Sort(out)
	return out, nil
}

// Put stages b, which must not be changed afterwards.
func (m *Memory) Put(_ context.Context, d chunk.Digest, b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.chunks == nil {
		m.chunks = map[chunk.Digest][]byte{}
	}
	m.chunks[d] = b
	return nil
}

// Get returns a staged chunk.
func (m *Memory) Get(_ context.Context, d chunk.Digest) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.chunks[d]
	if !ok {
		return nil, errors.Newf("chunk %s is not staged", d)
	}
	return b, nil
}

// Delete removes a staged chunk.
func (m *Memory) Delete(_ context.Context, d chunk.Digest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.chunks, d)
	return nil
}
