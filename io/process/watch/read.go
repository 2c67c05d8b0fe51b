package watch

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/gossip"
	"hawthornferry/core/process/inidoc"
	"hawthornferry/core/process/retry"
	"hawthornferry/core/process/trail"
)

// Pauses between reads of the platform.
const (
	// startSpread spreads the first reads of processes that start together.
	startSpread = 500 * time.Millisecond
	readBase    = 200 * time.Millisecond
	// readMax is how long the news of a service that has come back may wait;
	// it is the readers alone that ask, so it can be short.
	readMax = 2 * time.Second
	// readPause parts two reads of a reader, so that a burst of promotions,
	// or a service that does not hold a waiting read, cannot make it spin.
	readPause = 100 * time.Millisecond
	// vmPause is the pause between two reads of the VM list by one reader; a
	// zone has three, so its list is about a second old on average.
	vmPause = gossip.Readers * time.Second
	// vmBudget is the bytes a second that a reader may draw from the VM list
	// during its turn; a longer list is read less often.
	vmBudget = 512 << 10
)

// feed is what a reading goroutine and the loop share.
type feed struct {
	service *service
	reads   atomic.Bool
	held    atomic.Uint64
	refused atomic.Uint64
	turn    chan struct{}
	// told is the reason of the last failure that was logged; it belongs to
	// the reading goroutine.
	told string
}

// set says whether this process reads, and wakes the goroutine if so.
func (f *feed) set(reads bool) {
	f.reads.Store(reads)
	if !reads {
		return
	}
	select {
	case f.turn <- struct{}{}:
	default:
	}
}

// await returns once this process is to read, or ctx has ended. A process
// that holds nothing reads whatever its rank: it has only just started.
func (f *feed) await(ctx context.Context) {
	for !f.reads.Load() && f.held.Load() > 0 && ctx.Err() == nil {
		select {
		case <-f.turn:
		case <-ctx.Done():
		}
	}
}

// after is the revision above which a document is asked for. A refused one
// counts: the service would answer with it again at once.
func (f *feed) after() uint64 { return max(f.held.Load(), f.refused.Load()) }

// readDocuments reads once at the start, since the peers may be behind, and
// then while this process is a reader.
func (w *Watcher) readDocuments(ctx context.Context) {
	if !w.Config.IsValid() {
		return
	}
	s := w.docs.service
	defer s.close()
	back := retry.Backoff{Base: readBase, Max: readMax}
	w.spread(ctx)
	for first := true; ctx.Err() == nil; first = false {
		if !first {
			w.docs.await(ctx)
		}
		after, wait := w.docs.after(), watchWait
		if !w.docs.reads.Load() {
			wait = 0
		}
		text, revision, err := s.document(ctx, w.Environment, after, wait)
		w.Metrics.Counter("config_reads").Inc(1)
		pause := readPause
		switch {
		case err == nil && revision > after:
			back.Reset()
			w.docs.told = ""
			w.readDocument(ctx, revision, text)
		case err == nil && revision == 0:
			back.Reset()
			w.docs.told = ""
		default:
			w.readFailed(ctx, err, revision, after)
			pause = back.Next(random())
		}
		w.sleep(ctx, pause)
	}
}

// readFailed tells of a read that brought nothing. A service that answers
// with a revision that is not above the asked one is stale. The service may
// be down or stale for long: each reason is logged once, and counted always.
func (w *Watcher) readFailed(ctx context.Context, err error, revision, after uint64) {
	if ctx.Err() != nil {
		return
	}
	d := trail.Decision{Area: trail.AreaConfig, Action: "ignore", Subject: string(gossip.TopicDocument), Revision: revision}
	if err != nil {
		d.Action, d.Reason = "readFailed", err.Error()
		w.Metrics.Counter("config_read_errors").Inc(1)
	} else {
		d.Reason = fmt.Sprintf("the service is behind: %d is held", after)
		w.Metrics.Counter("config_ignored").Inc(1)
	}
	if d.Reason != w.docs.told {
		w.docs.told = d.Reason
		w.Log.Decide(d)
	}
}

// readDocument hands a document that was read to the loop and waits until
// it has been taken or refused, so that the next read asks above it.
func (w *Watcher) readDocument(ctx context.Context, revision uint64, text []byte) {
	f := inidoc.Parse(w.Environment, text)
	s, err := gossip.EncodeDocument(revision, f.Contents())
	if f.Flaws.Err() != nil {
		err = f.Flaws
	}
	done := make(chan struct{})
	w.post(ctx, func(now time.Time) []gossip.Action {
		defer close(done)
		if err != nil {
			return []gossip.Action{gossip.Refuse{Topic: gossip.TopicDocument, Mark: gossip.Mark{Version: revision}, Err: err}}
		}
		w.setService(revision)
		w.perform(w.node.Read(gossip.TopicDocument, s, now))
		return nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// readVMs reads once at the start and then while this process is a reader.
func (w *Watcher) readVMs(ctx context.Context) {
	if !w.VMList.IsValid() {
		return
	}
	s := w.list.service
	defer s.close()
	back := retry.Backoff{Base: readBase, Max: readMax}
	var o gossip.Observer
	w.spread(ctx)
	for first := true; ctx.Err() == nil; first = false {
		if !first {
			w.list.await(ctx)
		}
		vms, size, err := s.vms(ctx)
		w.Metrics.Counter("vmlist_reads").Inc(1)
		if err != nil {
			w.Metrics.Counter("vmlist_read_errors").Inc(1)
			w.sleep(ctx, back.Next(random()))
			continue
		}
		w.observe(ctx, &o, vms)
		if len(vms) == 0 {
			w.sleep(ctx, back.Next(random()))
			continue
		}
		back.Reset()
		w.sleep(ctx, vmInterval(size, random()))
	}
}

// vmInterval is the pause after a list of size bytes, drawn around its mean
// so that the readers of a zone do not read in step.
func vmInterval(size int, random float64) time.Duration {
	mean := max(vmPause, time.Duration(size)*time.Second/vmBudget)
	return mean/2 + time.Duration(random*float64(mean))
}

func (w *Watcher) observe(ctx context.Context, o *gossip.Observer, vms []fleet.VM) {
	done := make(chan struct{})
	w.post(ctx, func(now time.Time) []gossip.Action {
		defer close(done)
		next, changed, err := o.Observe(w.node.Held(gossip.TopicVMs), vms)
		if err != nil {
			return []gossip.Action{gossip.Refuse{Topic: gossip.TopicVMs, Err: err}}
		}
		if changed {
			return w.node.Read(gossip.TopicVMs, next, now)
		}
		return nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// spread waits a part of startSpread when there are peers to ask meanwhile.
func (w *Watcher) spread(ctx context.Context) {
	if len(w.Seeds) > 0 {
		w.sleep(ctx, time.Duration(random()*float64(startSpread)))
	}
}

func wrongEnvironment(got, want string) error {
	return fault.At("check document", "", errors.Newf("it is of environment %q, want %q", got, want))
}
