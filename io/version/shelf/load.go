package shelf

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/process/awake"
)

// Times and counts of a load.
const (
	// lateOrder is how long before a load a chunk may have turned bad without
	// blame on who ordered it: it cannot be helped in the last moment. mostAge is
	// how old the oldest look at a chunk may be when the order is given, and
	// orderTime how long the engine has to take it; both are within lateOrder.
	lateOrder = 3 * time.Second
	mostAge   = 1500 * time.Millisecond
	orderTime = time.Second
	// readRounds is how often chunks are looked at before an order whose oldest
	// look is too old each time is given up for now.
	readRounds = 4
	// settleWait bounds the wait for an engine that did not answer an order.
	settleWait = 2 * time.Second
)

// Load makes sure that every chunk of the version lies whole at the engine
// and orders it to load them. A chunk may have been spoilt, or overwritten by
// another version, since it was staged; an engine that took it would answer
// callers from mixed weights.
func (s *Shelf) Load(ctx context.Context, number uint64, digest chunk.Digest, m chunk.Manifest) error {
	e := s.edition(digest)
	if e == nil {
		return fault.Newf("order load", "engine", "manifest %s is not known", digest)
	}
	if s.Loading != nil {
		s.Loading(true)
		defer s.Loading(false)
	}
	// A chunk of another version that arrived meanwhile would be loaded among
	// those of this one.
	s.staging.Lock()
	defer s.staging.Unlock()
	// What is put back must not get into an earlier order either.
	if err := s.settle(ctx); err != nil {
		return err
	}
	oldest, err := s.readBack(ctx, e, m)
	if err != nil {
		return err
	}
	err = s.begin(ctx, e, number)
	s.noteLate(e, oldest)
	return err
}

// begin gives the order, and waits for the engine if it does not answer.
func (s *Shelf) begin(ctx context.Context, e *Edition, number uint64) error {
	orderCtx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	s.settled = false
	err := s.Engine.Begin(orderCtx, e.Model, e.Version, number-1)
	if err == nil {
		s.settled = true
		return nil
	}
	return errors.CombineErrors(err, s.settle(ctx))
}

func (s *Shelf) now() time.Duration {
	if s.Awake == nil {
		return awake.Now()
	}
	return s.Awake()
}

// errSlowReading ends an attempt to load whose read-back is too old each time.
var errSlowReading = errors.New("reading back what is staged takes too long for an order")

// readBack makes sure that every chunk lies whole at the engine, and returns the
// moment of the oldest look. The process may stand still between two looks, or
// the engine answer slowly: what turned bad meanwhile would be loaded, so that
// what was seen too long ago is looked at again.
func (s *Shelf) readBack(ctx context.Context, e *Edition, m chunk.Manifest) (time.Duration, error) {
	looked := make([]time.Duration, len(m.Chunks))
	for range readRounds {
		oldest, err := s.renew(ctx, e, m, looked)
		if err != nil {
			return 0, err
		}
		if s.now()-oldest <= mostAge {
			return oldest, nil
		}
	}
	return 0, errSlowReading
}

// renew looks at the chunks that were not looked at yet, or too long ago, and
// returns the moment of the oldest look.
func (s *Shelf) renew(ctx context.Context, e *Edition, m chunk.Manifest, looked []time.Duration) (time.Duration, error) {
	oldest := s.now()
	for num, ref := range m.Chunks {
		if looked[num] == 0 || s.now()-looked[num] > mostAge {
			at, err := s.ensure(ctx, e, num, ref)
			if err != nil {
				return 0, err
			}
			looked[num] = at
		}
		oldest = min(oldest, looked[num])
	}
	return oldest, nil
}

// noteLate writes down an order that may have been taken when what was read back
// could have been bad for longer than lateOrder: the process stood still after it
// had looked at its age, where nothing can stop the order any more.
func (s *Shelf) noteLate(e *Edition, oldest time.Duration) {
	age := s.now() - oldest
	if age <= lateOrder {
		return
	}
	s.Log.Decide(trail.Decision{
		Area: trail.AreaTransfer, Action: "orderedLate", Subject: string(e.Digest), Version: e.Version,
		AgeMS: age.Milliseconds(),
	})
}

// settle waits, after an order that was not answered, until the engine answers
// again. If it does not, nothing is staged until it does: given up earlier, the
// order could take what has been staged for the next version meanwhile.
func (s *Shelf) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	for {
		err := s.ask(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.At("settle order", "engine", err)
		case <-s.Clock.After(startRetry):
		}
	}
}

// ask makes sure that no order is on its way. The connection of one that was not
// answered is closed by then, and what an engine had received on it is read
// before it answers a later question.
func (s *Shelf) ask(ctx context.Context) error {
	if s.settled {
		return nil
	}
	if _, err := s.Engine.Report(ctx); err != nil {
		return err
	}
	s.settled = true
	return nil
}

func (s *Shelf) edition(d chunk.Digest) *Edition {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.editions {
		if e.Digest == d {
			return e
		}
	}
	return nil
}

// ensure puts one chunk back when the engine does not hold it whole, and returns
// a moment from which it was whole there.
func (s *Shelf) ensure(ctx context.Context, e *Edition, num int, ref chunk.Ref) (time.Duration, error) {
	at := s.now()
	there, err := s.Engine.Get(ctx, e.Model, num)
	if err == nil && chunk.Sum(there) == ref.Digest {
		return at, nil
	}
	b, ok := s.remembered(ref.Digest)
	if !ok {
		return 0, fault.Newf("order load", "engine", "chunk %d is spoilt and not at hand", num)
	}
	s.Log.Decide(trail.Decision{
		Area: trail.AreaTransfer, Action: "stageAgain", Subject: string(ref.Digest), Choice: strconv.Itoa(num),
		Reason: "spoilt or missing at the engine",
	})
	if err := s.Engine.Put(ctx, e.Model, num, b); err != nil {
		return 0, err
	}
	at = s.now()
	again, err := s.Engine.Get(ctx, e.Model, num)
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(again, b) {
		return 0, fault.Newf("order load", "engine", "chunk %d does not stay whole", num)
	}
	return at, nil
}
