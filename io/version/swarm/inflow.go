package swarm

import (
	"context"

	"hawthornferry/io/version/pace"
)

// ahead is how many bytes may be asked for and not come: one block until the
// peer has sent any, since it may itself still lack the chunk.
func ahead(got, piece int64) int64 {
	if got == 0 {
		return piece
	}
	return window * piece
}

// inflow is one transfer's part of what is on its way to the side.
type inflow struct {
	window *pace.Window
	under  []int64
}

// ask reports whether k more bytes may be asked for. It waits for room only while
// nothing of the transfer is on its way. Waiting with some on its way, the
// transfer would not take its blocks and so not give back their room: several
// would wait for each other's, and where the window holds less than two blocks
// one for its own, until they pass for stalled and their peers are blamed. A
// transfer that is told of no room takes a block and asks again.
func (f *inflow) ask(ctx context.Context, k int64) (bool, error) {
	if len(f.under) > 0 {
		if !f.window.TryAcquire(k) {
			return false, nil
		}
	} else if err := f.window.Acquire(ctx, k); err != nil {
		return false, err
	}
	f.under = append(f.under, k)
	return true, nil
}

// waive takes what was asked for out of the count: the peer still lacks the chunk
// and sends it when it has it, if ever. Counted meanwhile, such questions would
// fill the window, and the chunks of another version, which are there, could not
// be asked for. Not counted from the start, as many as a side has turns for would
// stand before a choked link, seconds deep.
func (f *inflow) waive() {
	for i, k := range f.under {
		f.window.Release(k, 0)
		f.under[i] = 0
	}
}

// came takes a block of n bytes.
func (f *inflow) came(n int64) {
	if len(f.under) == 0 {
		return
	}
	f.window.Release(f.under[0], n)
	f.under = f.under[1:]
}

// end gives back what did not come.
func (f *inflow) end() {
	f.waive()
	f.under = nil
}
