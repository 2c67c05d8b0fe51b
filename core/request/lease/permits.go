package lease

import (
	"hash/fnv"
	"slices"
	"time"
)

// Grant is a side's answer to an entry's question: N permits that expire at Expires. It
// cannot grant others before NextAt.
type Grant struct {
	N       int
	Expires time.Time
	NextAt  time.Time
}

// Permits are the permits that an entry holds for one target. The zero value holds none.
type Permits struct {
	expiries []time.Time
}

// Add adds n permits that expire at the given time.
func (p *Permits) Add(n int, expires time.Time) {
	for range n {
		p.expiries = append(p.expiries, expires)
	}
}

// Any reports whether a permit is left.
func (p *Permits) Any(now time.Time) bool {
	return slices.ContainsFunc(p.expiries, now.Before)
}

// Take uses up the permit that expires first and returns its expiry; false if none is left.
func (p *Permits) Take(now time.Time) (time.Time, bool) {
	p.expiries = slices.DeleteFunc(p.expiries, func(t time.Time) bool { return !now.Before(t) })
	if len(p.expiries) == 0 {
		return time.Time{}, false
	}
	slices.SortFunc(p.expiries, time.Time.Compare)
	first := p.expiries[0]
	p.expiries = p.expiries[1:]
	return first, true
}

// Share returns how many requests in a second an entry may send to a cold target that has
// no side to grant permits: an equal share among the given number of entries. Where there
// are more entries than requests, a hash decides which of them may send one.
func Share(perSecond, entries int, entry, target string) int {
	entries = max(entries, 1)
	if n := perSecond / entries; n > 0 {
		return n
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(entry + "\x00" + target))
	if int(h.Sum32()%uint32(entries)) < perSecond/2 {
		return 1
	}
	return 0
}
