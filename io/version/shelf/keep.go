package shelf

import (
	"context"
	"strconv"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
)

// List returns the chunks of the latest edition whose numbers the engine keeps,
// but for those where a chunk of another version is known to lie. What lies at the
// others may be of another version too: Get verifies it.
func (s *Shelf) List(ctx context.Context) ([]chunk.Digest, error) {
	s.mu.Lock()
	if len(s.editions) == 0 {
		s.mu.Unlock()
		return nil, nil
	}
	e := s.editions[len(s.editions)-1]
	s.mu.Unlock()
	held, err := s.held(ctx, e.Model)
	if err != nil {
		return nil, err
	}
	var out []chunk.Digest
	for _, num := range held {
		if num >= 0 && num < len(e.Manifest.Chunks) && s.mayLie(num, e.Manifest.Chunks[num].Digest) {
			out = append(out, e.Manifest.Chunks[num].Digest)
		}
	}
	return out, nil
}

// Put keeps a verified chunk and hands it to the engine when it is of the
// newest edition. An engine that does not take it now gets it before it is
// ordered to load: the chunk is at hand here and need not be fetched again.
func (s *Shelf) Put(ctx context.Context, d chunk.Digest, b []byte) error {
	places := s.placesOf(d)
	if len(places) == 0 {
		return fault.At("stage chunk", "engine", errUnknown)
	}
	s.remember(d, b)
	if !s.staging.TryLock() {
		// An order is being given; the chunk is put there before its own.
		return nil
	}
	defer s.staging.Unlock()
	for _, p := range places {
		if !s.isNewest(p) {
			return nil
		}
		if err := s.stage(ctx, p, b); err != nil {
			s.Log.Decide(trail.Decision{
				Area: trail.AreaTransfer, Action: "stageLater", Subject: string(d),
				Choice: strconv.Itoa(p.num), Reason: err.Error(),
			})
		}
	}
	return nil
}

// stage hands a chunk to the engine unless an order may be on its way there,
// which would load it among those of another version.
func (s *Shelf) stage(ctx context.Context, p place, b []byte) error {
	if err := s.ask(ctx); err != nil {
		return err
	}
	if err := s.Engine.Put(ctx, p.model, p.num, b); err != nil {
		return err
	}
	s.noteLies(p.num, chunk.Sum(b))
	return nil
}

// noteLies notes which chunk this process has seen at a number of the engine.
func (s *Shelf) noteLies(num int, d chunk.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lies == nil {
		s.lies = map[int]chunk.Digest{}
	}
	s.lies[num] = d
}

// mayLie reports whether a chunk may lie at a number, as far as this process knows.
func (s *Shelf) mayLie(num int, d chunk.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, known := s.lies[num]
	return !known || seen == d
}

func (s *Shelf) isNewest(p place) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.editions[len(s.editions)-1].Version == p.version
}

// held waits for an engine that has not started yet. Taken for empty, it would
// have every side of a fleet that starts fetch what lies beside it.
func (s *Shelf) held(ctx context.Context, model string) ([]int, error) {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for {
		nums, err := s.Engine.Held(ctx, model)
		if err == nil || ctx.Err() != nil {
			return nums, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-s.Clock.After(startRetry):
		}
	}
}

func (s *Shelf) remember(d chunk.Digest, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks == nil {
		s.chunks = map[chunk.Digest][]byte{}
	}
	s.chunks[d] = b
}

func (s *Shelf) remembered(d chunk.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.chunks[d]
	return b, ok
}

// Get returns a chunk that is kept here or, whole, at the engine.
func (s *Shelf) Get(ctx context.Context, d chunk.Digest) ([]byte, error) {
	if b, ok := s.remembered(d); ok {
		return b, nil
	}
	places := s.placesOf(d)
	if len(places) == 0 {
		return nil, fault.At("read chunk", "engine", errUnknown)
	}
	b, err := s.Engine.Get(ctx, places[0].model, places[0].num)
	if err != nil {
		return nil, err
	}
	if got := chunk.Sum(b); got != d {
		return nil, fault.Newf("read chunk", "engine", "digest %s, want %s", got, d)
	}
	s.noteLies(places[0].num, d)
	s.remember(d, b)
	return b, nil
}

// Delete forgets a chunk; its place at the engine is overwritten by the next
// version.
func (s *Shelf) Delete(_ context.Context, d chunk.Digest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.chunks, d)
	return nil
}
