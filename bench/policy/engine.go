package main

import (
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/picker"
)

// The cost of an engine's step: a fixed part, a part for each sequence that
// gets a token, and the prompt tokens that are computed in it.
const (
	stepBase      = 15 * time.Millisecond
	stepPerToken  = 500 * time.Microsecond
	prefillRate   = 8000
	prefillChunk  = 512
	blockTokens   = 64
	engineSlots   = 16
	engineBlocks  = 2048
	reportEvery   = 500 * time.Millisecond
	reportLag     = 300 * time.Millisecond
	eventLag      = time.Second
	eventLostOf   = 10
	minimumBlocks = 1
)

// engine is a model of one engine: it batches continuously over a number of
// slots, computes prompts in chunks and keeps a cache of prompt blocks.
type engine struct {
	vm      fleet.VM
	slow    float64
	s       *simulation
	cache   blockCache
	queue   []*call
	running []*call
	busy    bool
}

func (e *engine) submit(c *call) {
	e.queue = append(e.queue, c)
	if !e.busy {
		e.step()
	}
}

// step admits waiting calls to free slots and computes one step.
func (e *engine) step() {
	e.fill()
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	budget, computed, decoding := prefillChunk, 0, 0
	for _, c := range e.running {
		if c.prefill == 0 {
			decoding++
			continue
		}
		n := min(budget, c.prefill)
		c.prefill -= n
		c.computed = n > 0 && c.prefill == 0
		budget -= n
		computed += n
	}
	d := stepBase + time.Duration(decoding)*stepPerToken
	d += time.Duration(float64(computed) / prefillRate * float64(time.Second))
	e.s.after(time.Duration(float64(d)*e.slow), e.finishStep)
}

func (e *engine) fill() {
	for len(e.running) < engineSlots && len(e.queue) > 0 {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if c.gone {
			continue
		}
		hit := min(e.cache.match(c.request.PrefixHashes), len(c.request.PrefixHashes)-minimumBlocks)
		c.hitBlocks = hit
		c.prefill = (len(c.request.PrefixHashes) - hit) * blockTokens
		e.running = append(e.running, c)
	}
}

func (e *engine) finishStep() {
	kept := e.running[:0]
	for _, c := range e.running {
		if c.gone {
			continue
		}
		if c.prefill > 0 {
			kept = append(kept, c)
			continue
		}
		e.token(c)
		if c.tokens < c.outputs {
			kept = append(kept, c)
		}
	}
	e.running = kept
	e.step()
}

func (e *engine) token(c *call) {
	c.tokens++
	if c.computed {
		c.computed = false
		e.store(c)
		e.s.after(e.s.distance(c.entry, e), func() { c.firstByte() })
	}
	if c.tokens == c.outputs {
		e.s.after(e.s.distance(c.entry, e), func() { c.end() })
	}
}

// store puts the prompt into the cache and publishes the events, late and
// with gaps.
func (e *engine) store(c *call) {
	for _, b := range c.request.PrefixHashes {
		evicted, isNew := e.cache.put(b)
		if isNew {
			e.publish(b, true)
		}
		for _, old := range evicted {
			e.publish(old, false)
		}
	}
}

func (e *engine) publish(block uint64, stored bool) {
	if e.s.rand.IntN(eventLostOf) == 0 {
		return
	}
	e.s.after(eventLag, func() {
		for _, n := range e.s.entries {
			n.event(e.vm.Name, block, stored)
		}
	})
}

func (e *engine) report() {
	r := picker.LoadReport{Running: len(e.running), Queued: len(e.queue), Capacity: engineSlots}
	e.s.after(reportLag, func() {
		for _, n := range e.s.entries {
			n.report(e.vm.Name, r)
		}
	})
	e.s.after(reportEvery, e.report)
}
