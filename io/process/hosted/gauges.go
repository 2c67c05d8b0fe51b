package hosted

import (
	"context"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornferry/core/request/place"
)

// gaugeEvery is how often what is believed is measured.
const gaugeEvery = time.Second

// gauges keeps the metrics of what the process believes.
func (f *frame) gauges(ctx context.Context) error {
	scope := f.metrics.SubScope("belief")
	served := servedGauges{scope: scope}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.clock.After(gaugeEvery):
		}
		f.measure(scope)
		served.update(f.served())
	}
}

func (f *frame) measure(scope tally.Scope) {
	if age, known := f.feed.Age(); known {
		scope.Gauge("age_seconds").Update(age.Seconds())
	}
	known := f.feed.Current()
	scope.Gauge("revision").Update(float64(known.Revision))
	if known.Table != nil {
		scope.Gauge("configuration_version").Update(float64(known.Table.Version))
	}
	for _, c := range targetCounts(known) {
		for state, n := range map[string]int{"ready": c.Ready, "leaving": c.Leaving} {
			scope.Tagged(map[string]string{"service": c.Service, "state": state}).Gauge("targets").Update(float64(n))
		}
	}
	for _, v := range newestVersions(known) {
		model := scope.Tagged(map[string]string{"model": v.Model})
		model.Gauge("named_version").Update(float64(v.Version))
		model.Gauge("named_version_age_seconds").Update(f.clock.Since(v.Since).Seconds())
	}
}

// servedGauges shows the version that each target serves. Targets go by their
// address here: each start of one has an id of its own, and as the library
// can't take a gauge back, those of ids would become more with each release.
type servedGauges struct {
	scope tally.Scope
	shown map[servedKey]tally.Gauge
}

// servedKey names a target.
type servedKey struct {
	service string
	address netip.AddrPort
}

// update shows what is served now. An address without a target serves nothing.
func (g *servedGauges) update(served []place.Served) {
	now := make(map[servedKey]uint64, len(served))
	for _, s := range served {
		k := servedKey{s.Service, s.Address}
		now[k] = s.Version
		if _, ok := g.shown[k]; !ok {
			g.show(k)
		}
	}
	for k, gauge := range g.shown {
		gauge.Update(float64(now[k]))
	}
}

func (g *servedGauges) show(k servedKey) {
	if g.shown == nil {
		g.shown = map[servedKey]tally.Gauge{}
	}
	g.shown[k] = g.scope.Tagged(map[string]string{"service": k.service, "address": k.address.String()}).Gauge("served_version")
}
