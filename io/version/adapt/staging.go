package adapt

import (
	"context"
	"strconv"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
)

// List returns the chunks of the latest version for whose numbers the engine has a
// chunk, except where that chunk is known to be a different one. The others may be
// different too: Get verifies them.
func (a *Adapter) List(ctx context.Context) ([]chunk.Digest, error) {
	a.mu.Lock()
	if len(a.versions) == 0 {
		a.mu.Unlock()
		return nil, nil
	}
	e := a.versions[len(a.versions)-1]
	a.mu.Unlock()
	held, err := a.heldNumbers(ctx, e.Model)
	if err != nil {
		return nil, err
	}
	var out []chunk.Digest
	for _, num := range held {
		if num >= 0 && num < len(e.Manifest.Chunks) && a.mayHold(num, e.Manifest.Chunks[num].Digest) {
			out = append(out, e.Manifest.Chunks[num].Digest)
		}
	}
	return out, nil
}

// Put keeps a verified chunk in memory, and stages it at the engine if it belongs to the
// newest version. If the engine does not accept it now, Load stages it before it gives
// the order, and the chunk need not be fetched again.
func (a *Adapter) Put(ctx context.Context, d chunk.Digest, b []byte) error {
	positions := a.positionsOf(d)
	if len(positions) == 0 {
		return operr.Wrap("stage chunk", "engine", errUnknownChunk)
	}
	a.cacheChunk(d, b)
	if !a.stagingMu.TryLock() {
		// A load is being ordered. Load stages this chunk before its version is ordered.
		return nil
	}
	defer a.stagingMu.Unlock()
	for _, p := range positions {
		if !a.inNewestVersion(p) {
			return nil
		}
		if err := a.stageChunk(ctx, p, b); err != nil {
			a.Log.Record(trail.Decision{
				Area: trail.AreaTransfer, Action: "stageLater", Subject: string(d),
				Choice: strconv.Itoa(p.num), Reason: err.Error(),
			})
		}
	}
	return nil
}

// stageChunk stages a chunk at the engine unless an order may still be on its way there:
// the engine would load the chunk together with those of another version.
func (a *Adapter) stageChunk(ctx context.Context, p position, b []byte) error {
	if err := a.confirmNoOrderPending(ctx); err != nil {
		return err
	}
	if err := a.Engine.Put(ctx, p.model, p.num, b); err != nil {
		return err
	}
	a.recordSeen(p.num, chunk.DigestOf(b))
	return nil
}

// recordSeen records that the engine has the chunk d at a number.
func (a *Adapter) recordSeen(num int, d chunk.Digest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastSeen == nil {
		a.lastSeen = map[int]chunk.Digest{}
	}
	a.lastSeen[num] = d
}

// mayHold reports whether the engine may have the chunk d at a number: it does unless
// this process last saw a different chunk there.
func (a *Adapter) mayHold(num int, d chunk.Digest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen, known := a.lastSeen[num]
	return !known || seen == d
}

// inNewestVersion reports whether a position belongs to the newest known version.
func (a *Adapter) inNewestVersion(p position) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.versions[len(a.versions)-1].Version == p.version
}

// heldNumbers lists the numbers for which the engine has a chunk. It waits for an engine
// that has not started yet: if that were taken to have no chunks, every side of a fleet
// that starts would fetch weights that its engine already has.
func (a *Adapter) heldNumbers(ctx context.Context, model string) ([]int, error) {
	ctx, cancel := context.WithTimeout(ctx, engineStartTimeout)
	defer cancel()
	for {
		nums, err := a.Engine.HeldNumbers(ctx, model)
		if err == nil || ctx.Err() != nil {
			return nums, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-a.Clock.After(enginePollInterval):
		}
	}
}

// cacheChunk keeps a verified chunk in memory.
func (a *Adapter) cacheChunk(d chunk.Digest, b []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.chunks == nil {
		a.chunks = map[chunk.Digest][]byte{}
	}
	a.chunks[d] = b
}

// cachedChunk returns a chunk that is kept in memory.
func (a *Adapter) cachedChunk(d chunk.Digest) ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.chunks[d]
	return b, ok
}

// Get returns a chunk from memory or from the engine. A chunk from the engine is
// verified, and then kept in memory.
func (a *Adapter) Get(ctx context.Context, d chunk.Digest) ([]byte, error) {
	if b, ok := a.cachedChunk(d); ok {
		return b, nil
	}
	positions := a.positionsOf(d)
	if len(positions) == 0 {
		return nil, operr.Wrap("read chunk", "engine", errUnknownChunk)
	}
	b, err := a.Engine.Get(ctx, positions[0].model, positions[0].num, positions[0].size)
	if err != nil {
		return nil, err
	}
	if got := chunk.DigestOf(b); got != d {
		return nil, operr.Errorf("read chunk", "engine", "digest %s, want %s", got, d)
	}
	a.recordSeen(positions[0].num, d)
	a.cacheChunk(d, b)
	return b, nil
}

// Delete drops a chunk from memory. At the engine the next version overwrites it.
func (a *Adapter) Delete(_ context.Context, d chunk.Digest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.chunks, d)
	return nil
}
