package swarm

import (
	"context"

	"hawthornferry/io/version/pace"
)

// maxOutstanding returns how many bytes of a chunk may be requested and not
// yet received. It is one block until the peer has sent any, since the peer
// may not hold the chunk itself yet.
func maxOutstanding(received, blockSize int64) int64 {
	if received == 0 {
		return blockSize
	}
	return requestWindow * blockSize
}

// outstanding accounts for the requested and not yet received bytes of one
// transfer in the window of the side. sizes has one entry per requested block,
// oldest first.
type outstanding struct {
	window *pace.Window
	sizes  []int64
}

// reserve reports whether k more bytes may be requested, and counts them if
// so. It waits for room only when the transfer has no block outstanding. With
// blocks outstanding it returns false at once, and the caller must receive a
// block and try again.
//
// If it waited then, the transfer would not receive its blocks and so not
// release their room. Several transfers would wait for each other, and a
// single one for itself where the window holds less than two blocks, until
// they were treated as stalled and their peers blamed.
func (o *outstanding) reserve(ctx context.Context, k int64) (bool, error) {
	if len(o.sizes) > 0 {
		if !o.window.TryAcquire(k) {
			return false, nil
		}
	} else if err := o.window.Acquire(ctx, k); err != nil {
		return false, err
	}
	o.sizes = append(o.sizes, k)
	return true, nil
}

// releaseAll stops counting the requested blocks because the peer does not
// hold the chunk yet and may never send it. If such requests stayed counted
// they would fill the window, and available chunks of another version could
// not be requested.
//
// They are counted until then, because otherwise all concurrent transfers of a
// side could be answered at once and queue on an overloaded link for seconds.
func (o *outstanding) releaseAll() {
	for i, k := range o.sizes {
		o.window.Release(k, 0)
		o.sizes[i] = 0
	}
}

// releaseOldest releases the room of the oldest request, for which n bytes
// arrived.
func (o *outstanding) releaseOldest(n int64) {
	if len(o.sizes) == 0 {
		return
	}
	o.window.Release(o.sizes[0], n)
	o.sizes = o.sizes[1:]
}

// finish releases the room of all blocks that did not arrive.
func (o *outstanding) finish() {
	o.releaseAll()
	o.sizes = nil
}
