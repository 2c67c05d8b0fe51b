package main

import (
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/picker"
)

// Parameters of the engine model. A step takes stepBase, stepPerToken for each call
// that generates a token, and the time to compute its prompt tokens, at most
// prefillChunk of them, at prefillRate tokens a second. Load reports and cache
// events reach the entries after reportDelay and eventDelay, and one cache event in
// eventLossOneIn is lost. At least minPrefillBlocks of a prompt are computed even if
// all are cached.
const (
	stepBase         = 15 * time.Millisecond
	stepPerToken     = 500 * time.Microsecond
	prefillRate      = 8000
	prefillChunk     = 512
	blockTokens      = 64
	engineSlots      = 16
	cacheBlocks      = 2048
	reportInterval   = 500 * time.Millisecond
	reportDelay      = 300 * time.Millisecond
	eventDelay       = time.Second
	eventLossOneIn   = 10
	minPrefillBlocks = 1
)

// engine simulates one engine with continuous batching over engineSlots slots,
// prompts that are computed in chunks, and a cache of prompt blocks. Each step takes
// stepFactor times the normal time.
type engine struct {
	vm         fleet.VM
	stepFactor float64
	s          *simulation
	cache      blockCache
	queue      []*call
	running    []*call
	busy       bool
}

// submit queues a call, and starts a step if none is running.
func (e *engine) submit(c *call) {
	e.queue = append(e.queue, c)
	if !e.busy {
		e.step()
	}
}

// step moves queued calls into free slots and simulates one step of the batch;
// finishStep is called at its end.
func (e *engine) step() {
	e.startQueued()
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	budget, computed, decoding := prefillChunk, 0, 0
	for _, c := range e.running {
		if c.prefillLeft == 0 {
			decoding++
			continue
		}
		n := min(budget, c.prefillLeft)
		c.prefillLeft -= n
		c.prefillDone = n > 0 && c.prefillLeft == 0
		budget -= n
		computed += n
	}
	d := stepBase + time.Duration(decoding)*stepPerToken
	d += time.Duration(float64(computed) / prefillRate * float64(time.Second))
	e.s.after(time.Duration(float64(d)*e.stepFactor), e.finishStep)
}

// startQueued moves queued calls into free slots and looks up their cached blocks.
// Calls that were released meanwhile are dropped.
func (e *engine) startQueued() {
	for len(e.running) < engineSlots && len(e.queue) > 0 {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if c.released {
			continue
		}
		hit := min(e.cache.match(c.request.PrefixHashes), len(c.request.PrefixHashes)-minPrefillBlocks)
		c.cachedBlocks = hit
		c.prefillLeft = (len(c.request.PrefixHashes) - hit) * blockTokens
		e.running = append(e.running, c)
	}
}

// finishStep generates a token for each call whose prompt is computed, frees the
// slots of the calls that are complete or released, and starts the next step.
func (e *engine) finishStep() {
	kept := e.running[:0]
	for _, c := range e.running {
		if c.released {
			continue
		}
		if c.prefillLeft > 0 {
			kept = append(kept, c)
			continue
		}
		e.emitToken(c)
		if c.generated < c.outputTokens {
			kept = append(kept, c)
		}
	}
	e.running = kept
	e.step()
}

// emitToken counts a generated token. The first one stores the prompt in the cache
// and sends the first byte to the entry; the last one ends the call.
func (e *engine) emitToken(c *call) {
	c.generated++
	if c.prefillDone {
		c.prefillDone = false
		e.storePrompt(c)
		e.s.after(e.s.delay(c.entry, e), func() { c.firstByte() })
	}
	if c.generated == c.outputTokens {
		e.s.after(e.s.delay(c.entry, e), func() { c.end() })
	}
}

// storePrompt adds the prompt's blocks to the cache and publishes an event for each
// block that is stored or evicted.
func (e *engine) storePrompt(c *call) {
	for _, b := range c.request.PrefixHashes {
		evicted, isNew := e.cache.add(b)
		if isNew {
			e.publishCacheEvent(b, true)
		}
		for _, old := range evicted {
			e.publishCacheEvent(old, false)
		}
	}
}

// publishCacheEvent sends a cache event to every entry after eventDelay. One in
// eventLossOneIn, at random, is lost.
func (e *engine) publishCacheEvent(block uint64, stored bool) {
	if e.s.rand.IntN(eventLossOneIn) == 0 {
		return
	}
	e.s.after(eventDelay, func() {
		for _, n := range e.s.entries {
			n.event(e.vm.Name, block, stored)
		}
	})
}

// report sends a load report to every entry after reportDelay, and repeats itself
// every reportInterval.
func (e *engine) report() {
	r := picker.LoadReport{Running: len(e.running), Queued: len(e.queue), Capacity: engineSlots}
	e.s.after(reportDelay, func() {
		for _, n := range e.s.entries {
			n.report(e.vm.Name, r)
		}
	})
	e.s.after(reportInterval, e.report)
}
