package feed

import (
	"slices"
	"strings"
	"time"

	"hawthornferry/core/process/trail"
)

// rejection is an item whose newest value could not be decoded. current is the time on the
// Uptime clock at which the state was last known to be current without that value.
type rejection struct {
	revision uint64
	reason   string
	current  time.Duration
}

// maxReasonLen limits the reason of a fault, in bytes. Errors of decoders quote what they could not
// decode, which may be all of an item.
const maxReasonLen = 256

func reasonOf(err error) string {
	reason := err.Error()
	if len(reason) <= maxReasonLen {
		return reason
	}
	return strings.ToValidUTF8(reason[:maxReasonLen], "") + "..."
}

// reject records that the newest value of an item could not be decoded. f.mu must be held.
func (f *Feed) reject(it Item, err error) {
	r := rejection{revision: it.Revision, reason: reasonOf(err), current: f.confirmed}
	f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "rejectItem", Subject: it.Key, Reason: r.reason, Revision: it.Revision})
	f.Metrics.Counter("items_rejected_total").Inc(1)
	if former, rejected := f.rejected[it.Key]; rejected {
		r.current = former.current
	}
	f.rejected[it.Key] = r
}

// currentUntil returns the time on the Uptime clock at which the state was last known to be
// current. f.mu must be held.
func (f *Feed) currentUntil() time.Duration {
	until := f.confirmed
	for key, r := range f.rejected {
		if f.Decoder.Kind(key) == KindConfig {
			until = min(until, r.current)
		}
	}
	return until
}

// Faults returns what this process does not understand of the items that the store holds, in
// the order of their keys.
func (f *Feed) Faults() []trail.ItemFault {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []trail.ItemFault
	for key, r := range f.rejected {
		out = append(out, trail.ItemFault{Key: key, Kind: string(f.Decoder.Kind(key)), Revision: r.revision, Reason: r.reason, Rejected: true})
	}
	for key, fact := range f.decoded {
		if _, rejected := f.rejected[key]; rejected || fact.Config == nil {
			continue
		}
		for _, err := range fact.Config.Problems {
			out = append(out, trail.ItemFault{Key: key, Kind: string(KindConfig), Revision: f.items[key].Revision, Reason: reasonOf(err)})
		}
	}
	slices.SortStableFunc(out, func(a, b trail.ItemFault) int { return strings.Compare(a.Key, b.Key) })
	return out
}
