package place

import (
	"time"

	"hawthornferry/core/request/level"
)

// Rates returns this entry's demand for each service that has requests of different
// priorities.
func (p *Placer) Rates(time.Time) map[string]level.Rates { return nil }

// SetTotals sets the demand of all entries for a service. It is used until the given time;
// after that the entry's own demand takes its place.
func (p *Placer) SetTotals(_ time.Time, _ string, _ level.Totals, _ time.Time) {}

// Levels returns the admission level of each service that has requests of different
// priorities.
func (p *Placer) Levels() map[string]level.State { return nil }
