package engine

import (
	"sync"

	"hawthornferry/core/version/chunk"
)

// ChunkPool holds the bytes of staged chunks by digest, with a reference count,
// so that engines of one process that stage the same chunk hold it once.
type ChunkPool struct {
	mu    sync.Mutex
	items map[chunk.Digest]*pooledChunk
}

type pooledChunk struct {
	bytes []byte
	refs  int
}

// retain adds b, or a reference to it if it is there, and returns its digest.
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

// release drops a reference and frees the bytes with the last one.
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
