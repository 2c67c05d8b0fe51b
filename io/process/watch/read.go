package watch

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/gossip"
	"hawthornferry/core/process/inidoc"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/retry"
	"hawthornferry/core/process/trail"
)

// Pauses between reads of the platform.
const (
	// startSpread is the range of the random delay before the first read, so
	// that processes that start together don't read at once.
	startSpread   = 500 * time.Millisecond
	readRetryBase = 200 * time.Millisecond
	// readRetryMax bounds the delay until a service that has come back is read
	// again. It can be short, because only the readers retry.
	readRetryMax = 2 * time.Second
	// readPause is the pause between two reads, so that a burst of promotions,
	// or a service that doesn't hold a waiting read, can't make a reader spin.
	readPause = 100 * time.Millisecond
	// vmReadPause is the mean pause between two reads of the VM list by one
	// reader. A zone has three readers, so its list is about a second old on
	// average.
	vmReadPause = gossip.ReadersPerZone * time.Second
	// vmListBytesPerSecond limits the bandwidth that a reader uses for the VM
	// list. A list that is too long for it is read less often.
	vmListBytesPerSecond = 512 << 10
)

// readerState is shared by a reading goroutine and the event loop. reading is
// set while this process is a reader. held and refused are the highest
// revisions that were adopted and refused. wake wakes the goroutine.
type readerState struct {
	fetcher *fetcher
	reading atomic.Bool
	held    atomic.Uint64
	refused atomic.Uint64
	wake    chan struct{}
	// lastLogged is the reason of the last failure that was logged. Only the
	// reading goroutine uses it.
	lastLogged string
}

// setReading sets whether this process reads, and wakes the goroutine if so.
func (f *readerState) setReading(reading bool) {
	f.reading.Store(reading)
	if !reading {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// awaitReading returns once this process is a reader or ctx has ended. A
// process that has just started and holds nothing reads in any case.
func (f *readerState) awaitReading(ctx context.Context) {
	for !f.reading.Load() && f.held.Load() > 0 && ctx.Err() == nil {
		select {
		case <-f.wake:
		case <-ctx.Done():
		}
	}
}

// after returns the revision above which to request a document. Refused
// revisions count, because the service would return them again at once.
func (f *readerState) after() uint64 { return max(f.held.Load(), f.refused.Load()) }

// readDocuments reads the document once at the start, since the peers may be
// behind, and then while this process is a reader.
func (w *Watcher) readDocuments(ctx context.Context) {
	if !w.ConfigService.IsValid() {
		return
	}
	s := w.documents.fetcher
	defer s.close()
	backoff := retry.Backoff{Base: readRetryBase, Max: readRetryMax}
	w.delayStart(ctx)
	for first := true; ctx.Err() == nil; first = false {
		if !first {
			w.documents.awaitReading(ctx)
		}
		after, wait := w.documents.after(), watchWait
		if !w.documents.reading.Load() {
			wait = 0
		}
		text, revision, err := s.document(ctx, w.Environment, after, wait)
		w.Metrics.Counter("config_reads").Inc(1)
		pause := readPause
		switch {
		case err == nil && revision > after:
			backoff.Reset()
			w.documents.lastLogged = ""
			w.readDocument(ctx, revision, text)
		case err == nil && revision == 0:
			backoff.Reset()
			w.documents.lastLogged = ""
		default:
			w.logReadFailure(ctx, err, revision, after)
			pause = backoff.Next(random())
		}
		w.sleep(ctx, pause)
	}
}

// logReadFailure logs a read that brought nothing new: it failed, or the
// service is behind and returned a revision that is not above the requested
// one. As that may last, each reason is logged only once; the counters count
// every time.
func (w *Watcher) logReadFailure(ctx context.Context, err error, revision, after uint64) {
	if ctx.Err() != nil {
		return
	}
	d := trail.Decision{Area: trail.AreaConfig, Action: "ignore", Subject: string(gossip.TopicDocument), Revision: revision}
	if err != nil {
		d.Action, d.Reason = "readFailed", err.Error()
		w.Metrics.Counter("config_read_errors").Inc(1)
	} else {
		d.Reason = fmt.Sprintf("the service is behind: want a revision above %d", after)
		w.Metrics.Counter("config_ignored").Inc(1)
	}
	if d.Reason != w.documents.lastLogged {
		w.documents.lastLogged = d.Reason
		w.Log.Record(d)
	}
}

// readDocument passes a document to the event loop and waits until it has been
// adopted or refused, so that the next read requests a revision above it.
func (w *Watcher) readDocument(ctx context.Context, revision uint64, text []byte) {
	f := inidoc.Parse(w.Environment, text)
	s, err := gossip.EncodeDocument(revision, f.RawSections())
	if f.Problems.Err() != nil {
		err = f.Problems
	}
	done := make(chan struct{})
	w.post(ctx, func(now time.Time) []gossip.Action {
		defer close(done)
		if err != nil {
			return []gossip.Action{gossip.Refused{Topic: gossip.TopicDocument, Mark: gossip.Mark{Version: revision}, Err: err}}
		}
		w.setService(revision)
		w.performActions(w.node.Read(gossip.TopicDocument, s, now))
		return nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// readVMs reads the VM list once at the start and then while this process is a
// reader.
func (w *Watcher) readVMs(ctx context.Context) {
	if !w.VMListService.IsValid() {
		return
	}
	s := w.vmList.fetcher
	defer s.close()
	backoff := retry.Backoff{Base: readRetryBase, Max: readRetryMax}
	var observer gossip.Observer
	w.delayStart(ctx)
	for first := true; ctx.Err() == nil; first = false {
		if !first {
			w.vmList.awaitReading(ctx)
		}
		vms, size, err := s.vms(ctx)
		w.Metrics.Counter("vmlist_reads").Inc(1)
		if err != nil {
			w.Metrics.Counter("vmlist_read_errors").Inc(1)
			w.sleep(ctx, backoff.Next(random()))
			continue
		}
		w.observeVMs(ctx, &observer, vms)
		if len(vms) == 0 {
			w.sleep(ctx, backoff.Next(random()))
			continue
		}
		backoff.Reset()
		w.sleep(ctx, vmInterval(size, random()))
	}
}

// vmInterval returns the pause after a list of the given size. It is randomized
// so that the readers of a zone don't read at the same time.
func vmInterval(size int, random float64) time.Duration {
	mean := max(vmReadPause, time.Duration(size)*time.Second/vmListBytesPerSecond)
	return mean/2 + time.Duration(random*float64(mean))
}

func (w *Watcher) observeVMs(ctx context.Context, observer *gossip.Observer, vms []fleet.VM) {
	done := make(chan struct{})
	w.post(ctx, func(now time.Time) []gossip.Action {
		defer close(done)
		next, changed, err := observer.Observe(w.node.Held(gossip.TopicVMs), vms)
		if err != nil {
			return []gossip.Action{gossip.Refused{Topic: gossip.TopicVMs, Err: err}}
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

// delayStart sleeps for a random part of startSpread if there are seeds, from
// which the state may come in the meantime.
func (w *Watcher) delayStart(ctx context.Context) {
	if len(w.Seeds) > 0 {
		w.sleep(ctx, time.Duration(random()*float64(startSpread)))
	}
}

func environmentMismatch(got, want string) error {
	return operr.Wrap("check document", "", errors.Newf("document is for environment %q, want %q", got, want))
}
