package hosted

import (
	"context"
	"time"
)

// gaugeEvery is how often what is believed is measured.
const gaugeEvery = time.Second

// gauges keeps the metrics of what the process believes.
func (f *frame) gauges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.clock.After(gaugeEvery):
		}
		f.measure()
	}
}

func (f *frame) measure() {
	scope := f.metrics.SubScope("belief")
	if age, known := f.feed.Age(); known {
		scope.Gauge("age_seconds").Update(age.Seconds())
	}
	known := f.feed.Current()
	scope.Gauge("revision").Update(float64(known.Revision))
	if known.Table != nil {
		scope.Gauge("configuration_version").Update(float64(known.Table.Version))
	}
	type kind struct{ service, state string }
	counts := map[kind]int{}
	for _, t := range known.Targets {
		counts[kind{t.Service, "ready"}] += 0
		counts[kind{t.Service, "leaving"}] += 0
		state := "ready"
		if t.Leaving {
			state = "leaving"
		}
		counts[kind{t.Service, state}]++
	}
	for k, n := range counts {
		scope.Tagged(map[string]string{"service": k.service, "state": k.state}).Gauge("targets").Update(float64(n))
	}
	for _, v := range known.Versions {
		if newest, _ := known.Latest(v.Model); newest.Version != v.Version {
			continue
		}
		model := scope.Tagged(map[string]string{"model": v.Model})
		model.Gauge("named_version").Update(float64(v.Version))
		model.Gauge("named_version_age_seconds").Update(f.clock.Since(v.Since).Seconds())
	}
}
