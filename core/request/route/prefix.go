package route

import (
	"slices"
	"time"

	"hawthornferry/core/process/aged"
)

// holdersPerPrefix bounds the targets remembered for one prefix.
const holdersPerPrefix = 4

// prefixes remembers which targets hold which prompt prefixes in their
// caches. It is a guess: events come late and with gaps, and an entry's own
// choices are taken as stored before the engine says so. A wrong guess costs
// a prefill and nothing else.
type prefixes struct {
	table aged.Table[uint64, []holder]
}

type holder struct {
	target string
	at     time.Time
}

func (p *prefixes) stored(now time.Time, target string, prefix uint64) {
	old, _ := p.table.Get(now, prefix)
	held := []holder{{target: target, at: now}}
	for _, h := range old {
		if h.target != target && now.Sub(h.at) <= p.table.Age && len(held) < holdersPerPrefix {
			held = append(held, h)
		}
	}
	p.table.Put(now, prefix, held)
}

func (p *prefixes) evicted(now time.Time, target string, prefix uint64) {
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

// depth returns how many leading blocks of the request target is thought to
// hold; the prefixes are given shortest first.
func (p *prefixes) depth(now time.Time, target string, request []uint64) int {
	for i, prefix := range slices.Backward(request) {
		held, _ := p.table.Get(now, prefix)
		for _, h := range held {
			if h.target == target && now.Sub(h.at) <= p.table.Age {
				return i + 1
			}
		}
	}
	return 0
}
