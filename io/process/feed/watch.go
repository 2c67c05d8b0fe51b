package feed

import (
	"context"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/epoch"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/verlog"
	"hawthornferry/io/conn/bound"
)

// syncOnce lists the store if there is no state yet; otherwise it waits for one
// set of changes.
func (f *Feed) syncOnce(ctx context.Context) error {
	f.mu.Lock()
	contact, wait := f.contact(), f.waits().Store
	if len(f.graceEnds) > 0 {
		wait = min(wait, graceCheckInterval)
	}
	f.mu.Unlock()
	if !contact.Known {
		return f.list(ctx)
	}
	asked := f.Uptime()
	wait = contact.WatchWait(asked, wait)
	f.mu.Lock()
	f.expectAnswer(asked + wait)
	f.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	c, err := f.Store.Watch(callCtx, epoch.Count(contact.Revision), wait)
	got := f.Uptime()
	if err == nil && c.Epoch != epoch.Of(contact.Revision) {
		// The same count stands for other writes, so the changes after it are not all that is
		// missing here.
		err = errNewEpoch
	}
	if errors.Is(err, ErrHistoryLost) || errors.Is(err, errNewEpoch) {
		f.mu.Lock()
		f.recordStoreAnswer(f.waits().Store)
		f.mu.Unlock()
		f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "listAnew", Reason: err.Error(), Revision: contact.Revision})
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// A peer may have sent a newer revision in the meantime.
	f.answerDue = 0
	at := epoch.Revision(c.Epoch, c.AtRevision)
	if at >= f.revision {
		call := verlog.StoreCall{Asked: asked, Got: got, Wait: wait}
		live := f.contact().ChangesMadeAt(call, f.ranSince)
		f.recordStoreAnswer(f.waits().Store)
		f.recordAnswerTime(call)
		f.apply(inEpoch(c.Items, c.Epoch), source{live: live})
		f.confirm(asked, at)
	}
	return nil
}

// list reads all pages and replaces the state with them.
func (f *Feed) list(ctx context.Context) error {
	asked := f.Uptime()
	f.mu.Lock()
	f.expectAnswer(asked + watchSlack)
	f.mu.Unlock()
	var items []Item
	var first Page
	after, size := "", 0
	for {
		p, err := f.page(ctx, after)
		if err != nil {
			return err
		}
		if after != "" && p.Epoch != first.Epoch {
			return errNewEpoch
		}
		f.mu.Lock()
		f.recordStoreAnswer(pageTimeout)
		f.mu.Unlock()
		if after == "" {
			first = p
		}
		if size += sizeOf(p.Items); size > bound.MaxStateBytes {
			err := bound.Exceeded(bound.List, bound.MaxStateBytes)
			f.Self.CutOffs.Record(trail.AreaMember, "store", "store", err)
			return err
		}
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			break
		}
		after = p.Items[len(p.Items)-1].Key
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Pages are not a consistent snapshot. What changed between two pages comes
	// again with the watch, which starts at the revision of the first page.
	at := epoch.Revision(first.Epoch, first.AtRevision)
	if at < f.revision {
		f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "listIgnored", Reason: "a peer has sent a newer state", Revision: at})
		return nil
	}
	f.recordAnswerTime(verlog.StoreCall{Asked: asked, Got: f.Uptime()})
	f.replaceAll(inEpoch(items, first.Epoch), at)
	f.confirm(asked, at)
	return nil
}

// inEpoch returns the store's items with the epoch in their revisions.
func inEpoch(items []Item, of uint64) []Item {
	out := make([]Item, len(items))
	for i, it := range items {
		it.Revision = epoch.Revision(of, it.Revision)
		out[i] = it
	}
	return out
}

func (f *Feed) page(ctx context.Context, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return f.Store.List(ctx, after)
}
