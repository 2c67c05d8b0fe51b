// Package level decides which share of a service's requests may begin when its engines
// cannot serve all of them: the more urgent ones first, with a floor for the others.
//
// Each entry measures its own demand (Rates) and receives the sum over all entries
// (Totals) from the collectors, which package loads runs. A Controller turns both into a
// State. The package has no clock, network or goroutines; package place calls it.
package level

import (
	"math"

	"github.com/cockroachdb/errors"
)

// Priorities is the number of priorities. They run from 0, the most urgent, to
// Priorities-1, and are the ranks of requests among those of their service (table.Rank).
const Priorities = 10

// maxRate bounds each rate, in engine seconds per second: more than any service has
// engines.
const maxRate = 1e6

// Rates is the demand of one entry for one service over the last second, in engine
// seconds per second, by priority. Offered counts new requests that can still be on
// time, Placed all that were placed, and Crowded new ones that the level admitted and that
// were refused for lack of capacity or answered late. What the level holds back counts in
// Offered only.
type Rates struct {
	Offered [Priorities]float64 `msgpack:"offered"`
	Placed  [Priorities]float64 `msgpack:"placed"`
	Crowded [Priorities]float64 `msgpack:"crowded"`
}

// Check returns an error if a rate is negative, too high or not a number.
func (r *Rates) Check() error {
	for name, rates := range map[string]*[Priorities]float64{"offered": &r.Offered, "placed": &r.Placed, "crowded": &r.Crowded} {
		for priority, v := range rates {
			if math.IsNaN(v) || v < 0 || v > maxRate {
				return errors.Newf("%s rate %g of priority %d: want 0 to %g", name, v, priority, float64(maxRate))
			}
		}
	}
	return nil
}

// Add adds the rates of another entry. A sum never exceeds what Check accepts: one faulty
// entry must not make the sum over all invalid.
func (r *Rates) Add(o *Rates) {
	for i := range Priorities {
		r.Offered[i] = min(r.Offered[i]+o.Offered[i], maxRate)
		r.Placed[i] = min(r.Placed[i]+o.Placed[i], maxRate)
		r.Crowded[i] = min(r.Crowded[i]+o.Crowded[i], maxRate)
	}
}

// Totals is the sum of the rates of Entries entries.
type Totals struct {
	Entries int `msgpack:"entries"`
	Rates   `msgpack:",inline"`
}

// State is the admission level of a service. While InForce is false all requests may
// begin. Otherwise Shares holds the share of each priority's new requests that may.
type State struct {
	InForce bool
	Shares  [Priorities]float64
}
