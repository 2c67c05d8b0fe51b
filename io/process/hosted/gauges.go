package hosted

import (
	"context"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/epoch"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
	"hawthornferry/io/process/feed"
)

// gaugeInterval is how often the gauges are updated.
const gaugeInterval = time.Second

// runGauges publishes metrics of this process's copy of the platform's state until ctx
// ends.
func (p *process) runGauges(ctx context.Context) error {
	scope := p.metrics.SubScope("belief")
	served := servedGauges{scope: scope}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.clock.After(gaugeInterval):
		}
		p.updateGauges(scope)
		served.update(p.served())
	}
}

func (p *process) updateGauges(scope tally.Scope) {
	if age, known := p.feed.Age(); known {
		scope.Gauge("age_seconds").Update(age.Seconds())
	}
	scope.Gauge("entries").Update(float64(p.entries()))
	notices := p.notices()
	scope.Gauge("rate_limited_targets").Update(float64(notices.RateLimited))
	scope.Gauge("said_leaving_targets").Update(float64(notices.Leaving))
	scope.Gauge("backoff_targets").Update(float64(notices.BackingOff))
	known := p.feed.Current()
	scope.Gauge("revision").Update(float64(epoch.Count(known.Revision)))
	scope.Gauge("store_epoch").Update(float64(epoch.Of(known.Revision)))
	if known.Table != nil {
		scope.Gauge("configuration_version").Update(float64(known.Table.Version))
	}
	updateFaultGauges(scope, p.feed.Faults())
	for _, c := range targetCounts(known) {
		for state, n := range map[string]int{"ready": c.Ready, "leaving": c.Leaving} {
			scope.Tagged(map[string]string{"service": c.Service, "state": state}).Gauge("targets").Update(float64(n))
		}
	}
	for _, version := range newestVersions(known) {
		model := scope.Tagged(map[string]string{"model": version.Model})
		model.Gauge("named_version").Update(float64(version.Version))
		model.Gauge("named_version_age_seconds").Update(p.clock.Since(version.Since).Seconds())
	}
}

// updateFaultGauges publishes how many items of the store are rejected whole, by kind, and
// how many faults the configuration in force has.
func updateFaultGauges(scope tally.Scope, faults []trail.ItemFault) {
	rejected, inForce := map[feed.ItemKind]int{}, 0
	for _, fault := range faults {
		if fault.Rejected {
			rejected[feed.ItemKind(fault.Kind)]++
		} else {
			inForce++
		}
	}
	for _, kind := range []feed.ItemKind{feed.KindConfig, feed.KindTarget, feed.KindVersion, feed.KindEvacuation} {
		scope.Tagged(map[string]string{"kind": string(kind)}).Gauge("rejected_items").Update(float64(rejected[kind]))
	}
	scope.Gauge("configuration_faults").Update(float64(inForce))
}

// servedGauges publishes the version that each target serves, labelled by the target's
// address. The ID of a target changes at each start, and since tally can't remove a
// gauge, gauges labelled by ID would pile up with each release.
type servedGauges struct {
	scope  tally.Scope
	gauges map[servedKey]tally.Gauge
}

// servedKey identifies a target by its service and address.
type servedKey struct {
	service string
	address netip.AddrPort
}

// update publishes the served versions. A known address that no longer has a target
// gets 0.
func (g *servedGauges) update(served []place.TargetVersion) {
	now := make(map[servedKey]uint64, len(served))
	for _, s := range served {
		key := servedKey{s.Service, s.Address}
		now[key] = s.Version
		if _, ok := g.gauges[key]; !ok {
			g.create(key)
		}
	}
	for key, gauge := range g.gauges {
		gauge.Update(float64(now[key]))
	}
}

func (g *servedGauges) create(key servedKey) {
	if g.gauges == nil {
		g.gauges = map[servedKey]tally.Gauge{}
	}
	g.gauges[key] = g.scope.Tagged(map[string]string{"service": key.service, "address": key.address.String()}).Gauge("served_version")
}
