package engine

import (
	"sync"

	"hawthornferry/core/version/chunk"
)

// ChunkPool holds bytes once, however many engines of the process staged them.
type ChunkPool struct {
	mu    sync.Mutex
	items map[chunk.Digest]*pooledChunk
}

type pooledChunk struct {
	bytes []byte
	refs  int
}

// hold keeps b and returns the digest of what it holds.
func (p *ChunkPool) retain(b []byte) chunk.Digest {
	d := chunk.DigestOf(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.items == nil {
		p.items = map[chunk.Digest]*pooledChunk{}
	}
	it, ok := p.items[d]
	if !ok {
		it = &pooledChunk{bytes: b}
		p.items[d] = it
	}
	it.refs++
	return d
}

func (p *ChunkPool) release(d chunk.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	it, ok := p.items[d]
	if !ok {
		return
	}
	it.refs--
	if it.refs == 0 {
		delete(p.items, d)
	}
}

func (p *ChunkPool) bytes(d chunk.Digest) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	it, ok := p.items[d]
	if !ok {
		return nil
	}
	return it.bytes
}
