package feed

import (
	"context"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/naming"
	"hawthornferry/core/process/trail"
)

// step lists the store, or waits for one set of changes.
func (f *Feed) step(ctx context.Context) error {
	f.mu.Lock()
	contact, wait := f.contact(), f.Wait
	if len(f.lapsing) > 0 {
		wait = min(wait, lapseEvery)
	}
	f.mu.Unlock()
	if !contact.Known {
		return f.list(ctx)
	}
	asked := f.Awake()
	wait = contact.WaitOf(asked, wait)
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	c, err := f.Store.Watch(callCtx, contact.Revision, wait)
	got := f.Awake()
	if errors.Is(err, ErrHistory) {
		f.mu.Lock()
		f.storeAnswered(f.Wait)
		f.mu.Unlock()
		f.Log.Decide(trail.Decision{Area: trail.AreaConfig, Action: "listAnew", Reason: err.Error(), Revision: contact.Revision})
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// A peer may have told of more meanwhile.
	if c.At >= f.revision {
		call := naming.Call{Asked: asked, Got: got, Wait: wait}
		live := f.contact().LiveAt(call, f.ranSince)
		f.storeAnswered(f.Wait)
		f.hearStore(call)
		f.apply(c.Items, live)
		f.confirm(asked, c.At)
	}
	return nil
}

// list reads every page and takes it for the whole.
func (f *Feed) list(ctx context.Context) error {
	asked := f.Awake()
	var items []Item
	var first uint64
	after := ""
	for {
		p, err := f.page(ctx, after)
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.storeAnswered(listTimeout)
		f.mu.Unlock()
		if after == "" {
			first = p.At
		}
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			break
		}
		after = p.Items[len(p.Items)-1].Key
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Pages are not a snapshot: what changed between them comes again with
	// the watch from the first page's revision.
	if first < f.revision {
		return nil
	}
	f.hearStore(naming.Call{Asked: asked, Got: f.Awake()})
	f.replace(items, first)
	f.confirm(asked, first)
	return nil
}

func (f *Feed) page(ctx context.Context, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.Store.List(ctx, after)
}
