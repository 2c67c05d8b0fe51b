package adapt

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/process/uptime"
)

// Limits of a load.
const (
	// corruptionGrace is how long before a load a chunk may have become corrupt without
	// the order counting as a fault: a change at the last moment cannot be detected.
	corruptionGrace = 3 * time.Second
	// maxReadBackAge is how long before the order any chunk may have been verified at
	// the engine, and orderTimeout how long the engine may take to accept the order.
	// Their sum is below corruptionGrace.
	maxReadBackAge = 1500 * time.Millisecond
	orderTimeout   = time.Second
	// maxReadBackRounds bounds the rounds of verification before an order. The attempt
	// to load fails if after each of them some chunk was verified too long ago.
	maxReadBackRounds = 4
	// settleTimeout bounds the wait for the engine to answer again after an unanswered
	// order.
	settleTimeout = 2 * time.Second
)

// Load verifies that the engine has every chunk of the version, stages those again that
// are missing or corrupt, and orders the engine to load them under number. Since it was
// staged a chunk may have become corrupt or been overwritten by that of another version;
// an engine that loaded it would serve callers from mixed weights.
func (a *Adapter) Load(ctx context.Context, number uint64, digest chunk.Digest, m chunk.Manifest) error {
	e := a.versionByDigest(digest)
	if e == nil {
		return operr.Errorf("order load", "engine", "manifest %s is not known", digest)
	}
	if a.OnLoading != nil {
		a.OnLoading(true)
		defer a.OnLoading(false)
	}
	// A chunk of another version that is staged from here on would be loaded together
	// with those of this one.
	a.stagingMu.Lock()
	defer a.stagingMu.Unlock()
	// An earlier order that is still on its way must not load what is staged again here.
	if err := a.awaitOrderSettled(ctx); err != nil {
		return err
	}
	oldest, err := a.readBack(ctx, e, m)
	if err != nil {
		return err
	}
	err = a.orderLoad(ctx, e, number)
	a.logLateOrder(e, oldest)
	return err
}

// orderLoad orders the engine to load the staged chunks. If the engine does not answer
// the order, orderLoad waits until it answers again, as awaitOrderSettled does.
func (a *Adapter) orderLoad(ctx context.Context, e *KnownVersion, number uint64) error {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	a.noOrderPending = false
	err := a.Engine.OrderLoad(orderCtx, e.Model, e.Version, number-1)
	if err == nil {
		a.noOrderPending = true
		return nil
	}
	return errors.CombineErrors(err, a.awaitOrderSettled(ctx))
}

// now is the time on a clock that also counts the time in which the machine was
// suspended.
func (a *Adapter) now() time.Duration {
	if a.Uptime == nil {
		return uptime.Now()
	}
	return a.Uptime()
}

// errReadBackTooSlow is returned when after each round some chunk was verified longer
// than maxReadBackAge ago.
var errReadBackTooSlow = errors.New("reading back the staged chunks takes too long for a load order")

// readBack verifies that the engine has every chunk, and returns when the chunk that was
// verified first was verified. The process may be suspended, or the engine be slow,
// between two chunks; a chunk that became corrupt meanwhile would be loaded. Chunks that
// were verified too long ago are therefore verified again.
func (a *Adapter) readBack(ctx context.Context, e *KnownVersion, m chunk.Manifest) (time.Duration, error) {
	verifiedAt := make([]time.Duration, len(m.Chunks))
	for range maxReadBackRounds {
		oldest, err := a.verifyOutdated(ctx, e, m, verifiedAt)
		if err != nil {
			return 0, err
		}
		if a.now()-oldest <= maxReadBackAge {
			return oldest, nil
		}
	}
	return 0, errReadBackTooSlow
}

// verifyOutdated verifies the chunks that have not been verified yet, or too long ago,
// and returns the earliest time of verification of all chunks. verifiedAt holds the time
// of each chunk, 0 if it has none.
func (a *Adapter) verifyOutdated(ctx context.Context, e *KnownVersion, m chunk.Manifest, verifiedAt []time.Duration) (time.Duration, error) {
	oldest := a.now()
	for num, ref := range m.Chunks {
		if verifiedAt[num] == 0 || a.now()-verifiedAt[num] > maxReadBackAge {
			verified, err := a.ensureStaged(ctx, e, num, ref)
			if err != nil {
				return 0, err
			}
			verifiedAt[num] = verified
		}
		oldest = min(oldest, verifiedAt[num])
	}
	return oldest, nil
}

// logLateOrder logs an order that the engine may have accepted when some chunk had not
// been verified for longer than corruptionGrace. This happens if the process is
// suspended after the last check of the chunks' ages, when the order can no longer be
// stopped, or if the engine does not answer the order.
func (a *Adapter) logLateOrder(e *KnownVersion, oldest time.Duration) {
	age := a.now() - oldest
	if age <= corruptionGrace {
		return
	}
	a.Log.Record(trail.Decision{
		Area: trail.AreaTransfer, Action: "orderedLate", Subject: string(e.Digest), Version: e.Version,
		AgeMS: age.Milliseconds(),
	})
}

// awaitOrderSettled waits until no order can be on its way to the engine, for
// settleTimeout at most. If the engine does not answer by then, nothing is staged until
// it does: the engine could still read the order, and load chunks that were staged since
// for the next version.
func (a *Adapter) awaitOrderSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		err := a.confirmNoOrderPending(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return operr.Wrap("await unanswered order", "engine", err)
		case <-a.Clock.After(enginePollInterval):
		}
	}
}

// confirmNoOrderPending returns nil if no order can be on its way to the engine, which
// any answer of the engine shows: the connection of an unanswered order is closed by
// then, and the engine handles what it has received on it before it answers a later
// request.
func (a *Adapter) confirmNoOrderPending(ctx context.Context) error {
	if a.noOrderPending {
		return nil
	}
	if _, err := a.Engine.Report(ctx); err != nil {
		return err
	}
	a.noOrderPending = true
	return nil
}

// versionByDigest returns the version whose manifest has the digest d, nil if there is
// none.
func (a *Adapter) versionByDigest(d chunk.Digest) *KnownVersion {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.versions {
		if e.Digest == d {
			return e
		}
	}
	return nil
}

// ensureStaged verifies one chunk at the engine, and stages it again if it is missing or
// corrupt. It returns a time at which, or after which, the engine had the chunk
// uncorrupted.
func (a *Adapter) ensureStaged(ctx context.Context, e *KnownVersion, num int, ref chunk.Ref) (time.Duration, error) {
	verifiedAt := a.now()
	staged, err := a.Engine.Get(ctx, e.Model, num, ref.Size)
	if err == nil && chunk.DigestOf(staged) == ref.Digest {
		return verifiedAt, nil
	}
	b, ok := a.cachedChunk(ref.Digest)
	if !ok {
		return 0, operr.Errorf("order load", "engine", "chunk %d is corrupt or missing at the engine and not in memory", num)
	}
	a.Log.Record(trail.Decision{
		Area: trail.AreaTransfer, Action: "stageAgain", Subject: string(ref.Digest), Choice: strconv.Itoa(num),
		Reason: "corrupt or missing at the engine",
	})
	if err := a.Engine.Put(ctx, e.Model, num, b); err != nil {
		return 0, err
	}
	verifiedAt = a.now()
	readBack, err := a.Engine.Get(ctx, e.Model, num, ref.Size)
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(readBack, b) {
		return 0, operr.Errorf("order load", "engine", "chunk %d differs when read back after staging", num)
	}
	return verifiedAt, nil
}
