// Package space accounts for the memory that an entry uses for bodies of requests and
// responses. Callers may send and read slowly, and what is held for them counts toward the
// memory limit of the process. Package direct refuses requests, and stops buffering
// responses, once the budget is used up.
package space

import "sync/atomic"

// Budget limits the bytes that are held at the same time. It is safe for concurrent use. A
// nil Budget has no limit.
type Budget struct {
	// Limit is in bytes.
	Limit int64

	used atomic.Int64
	peak atomic.Int64
	// spare is the part of used that was taken by GrowSpare.
	spare atomic.Int64
}

// take reserves n bytes, if that many are left.
func (b *Budget) take(n int64) bool {
	used := b.used.Add(n)
	if used > b.Limit {
		b.used.Add(-n)
		return false
	}
	for {
		peak := b.peak.Load()
		if used <= peak || b.peak.CompareAndSwap(peak, used) {
			return true
		}
	}
}

// Used returns the bytes that are held, and Peak the most that were held so far.
func (b *Budget) Used() int64 { return b.used.Load() }

// Peak returns the most bytes that were held at the same time so far.
func (b *Budget) Peak() int64 { return b.peak.Load() }

// Hold is what one request holds of a Budget. It is not safe for concurrent use.
type Hold struct {
	Budget *Budget

	held int64
	// spare is the part of held that was taken by GrowSpare.
	spare int64
}

// Grow makes the hold at least n bytes large. It returns false if the budget doesn't allow
// that; the hold then stays as it was.
func (h *Hold) Grow(n int64) bool {
	more := n - h.held
	if h.Budget == nil || more <= 0 {
		return true
	}
	if !h.Budget.take(more) {
		return false
	}
	h.held = n
	return true
}

// spareShare is the part of a budget that contents of unknown length may take. Those without
// end would take all of it, and leave nothing to others.
const spareShare = 0.25

// GrowSpare grows like Grow for contents whose length is not known beforehand. All of them
// together get no more than spareShare of the budget.
func (h *Hold) GrowSpare(n int64) bool {
	b, more := h.Budget, n-h.held
	if b == nil || more <= 0 {
		return true
	}
	if float64(b.spare.Add(more)) > spareShare*float64(b.Limit) || !h.Grow(n) {
		b.spare.Add(-more)
		return false
	}
	h.spare += more
	return true
}

// Release gives everything back.
func (h *Hold) Release() {
	if h.Budget != nil {
		h.Budget.used.Add(-h.held)
		h.Budget.spare.Add(-h.spare)
	}
	h.held, h.spare = 0, 0
}
