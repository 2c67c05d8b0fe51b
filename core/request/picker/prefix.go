package picker

import (
	"slices"
	"time"

	"hawthornferry/core/process/ttlmap"
)

// holdersPerPrefix is the most targets remembered for one prefix. With fewer, a
// popular prefix that spread over several targets is prefilled again; with more, each
// look-up takes longer.
const holdersPerPrefix = 4

// prefixTable remembers which targets are likely to hold which prompt prefixes in
// their caches.
//
// It may be wrong: cache events arrive late and some are lost, and the entry assumes
// that a chosen target holds the prompt's prefixes before its engine reports it. A
// wrong entry costs one prefill at most.
type prefixTable struct {
	table ttlmap.Map[uint64, []holder]
}

// holder is a target that is assumed to hold a prefix since storedAt.
type holder struct {
	target   string
	storedAt time.Time
}

// stored puts target first among the holders of prefix, and drops expired holders and
// those beyond holdersPerPrefix.
func (p *prefixTable) stored(now time.Time, target string, prefix uint64) {
	old, _ := p.table.Get(now, prefix)
	held := []holder{{target: target, storedAt: now}}
	for _, h := range old {
		if h.target != target && now.Sub(h.storedAt) <= p.table.TTL && len(held) < holdersPerPrefix {
			held = append(held, h)
		}
	}
	p.table.Put(now, prefix, held)
}

func (p *prefixTable) evicted(now time.Time, target string, prefix uint64) {
	old, ok := p.table.Get(now, prefix)
	if !ok {
		return
	}
	held := slices.DeleteFunc(slices.Clone(old), func(h holder) bool { return h.target == target })
	if len(held) == 0 {
		p.table.Delete(prefix)
		return
	}
	p.table.Put(now, prefix, held)
}

// depth returns how many leading blocks of the request target is assumed to hold. The
// request's prefixes are ordered shortest first.
func (p *prefixTable) depth(now time.Time, target string, request []uint64) int {
	for i, prefix := range slices.Backward(request) {
		held, _ := p.table.Get(now, prefix)
		for _, h := range held {
			if h.target == target && now.Sub(h.storedAt) <= p.table.TTL {
				return i + 1
			}
		}
	}
	return 0
}
