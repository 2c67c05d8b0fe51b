package engine

import (
	"sync"

	"hawthornferry/core/version/chunk"
)

// Pool holds bytes once, however many engines of the process staged them.
type Pool struct {
	mu    sync.Mutex
	items map[chunk.Digest]*pooled
}

type pooled struct {
	bytes []byte
	holds int
}

// hold keeps b and returns the digest of what it holds.
func (p *Pool) hold(b []byte) chunk.Digest {
	d := chunk.DigestOf(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.items == nil {
		p.items = map[chunk.Digest]*pooled{}
	}
	it, ok := p.items[d]
	if !ok {
		it = &pooled{bytes: b}
		p.items[d] = it
	}
	it.holds++
	return d
}

func (p *Pool) release(d chunk.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	it, ok := p.items[d]
	if !ok {
		return
	}
	it.holds--
	if it.holds == 0 {
		delete(p.items, d)
	}
}

func (p *Pool) bytes(d chunk.Digest) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	it, ok := p.items[d]
	if !ok {
		return nil
	}
	return it.bytes
}
