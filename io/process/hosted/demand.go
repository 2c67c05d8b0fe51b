package hosted

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/demand"
	"hawthornferry/core/request/level"
	"hawthornferry/core/request/place"
	"hawthornferry/io/process/loads"
	"hawthornferry/io/request/direct"
)

// demandTick is how often an entry looks whether a collector is to be told its demand. It adds
// to the delay with which a step in demand takes effect.
const demandTick = 50 * time.Millisecond

// demandSource is what an entry knows of its own demand. It is a direct.Server.
type demandSource interface {
	Demand() (map[string]level.Rates, map[string]level.State)
	SetDemandTotals(service string, t direct.DemandTotals)
	DemandEntries(service string) int
	DescribeLevel(service string, state level.State, priorities ...int) *trail.AdmissionLevel
}

// demandSender sends messages to collectors. It is a loads.Listener.
type demandSender interface {
	Connected(side netip.AddrPort) bool
	SendDemand(side netip.AddrPort, d loads.Demand)
}

// demandReports tells the collectors of each service with requests of different priorities
// this entry's demand, and passes on the sum over all entries.
type demandReports struct {
	clock    clockwork.Clock
	uptime   func() time.Duration
	log      trail.Log
	metrics  tally.Scope
	sidePort uint16
	source   demandSource
	sender   demandSender

	mu       sync.Mutex
	exchange demand.Exchange
	changes  demand.Changes
	// priorities holds the priorities of each service.
	priorities map[string][]int
	// listensTo holds the sides whose load reports this entry needs.
	listensTo map[netip.AddrPort]bool
	// demandOnly holds the sides that were told to send this entry no load reports, and the
	// service of the last message to each.
	demandOnly map[netip.AddrPort]string
	gauges     map[demandGauge]tally.Gauge
	gaugesAt   time.Duration
}

// demandGauge identifies a gauge by its service and, for a share, its priority; noPriority
// stands for the number of entries.
type demandGauge struct {
	service  string
	priority int
}

const noPriority = -1

// setTargets sets the sides whose load reports this entry needs and computes the collectors.
// It returns the sides to be connected to.
func (r *demandReports) setTargets(f *facts.Facts, sides []netip.AddrPort) []netip.AddrPort {
	priorities := map[string][]int{}
	collectors := map[string][]netip.AddrPort{}
	all := slices.Clone(sides)
	for service, targets := range engineTargets(f) {
		if !place.HasLevel(f.Table, service) {
			continue
		}
		priorities[service] = f.Table.Ranks(service)
		for _, a := range demand.Collectors(service, targets) {
			side := netip.AddrPortFrom(a, r.sidePort)
			collectors[service] = append(collectors[service], side)
			if !slices.Contains(all, side) {
				all = append(all, side)
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.priorities = priorities
	r.listensTo = map[netip.AddrPort]bool{}
	for _, side := range sides {
		r.listensTo[side] = true
	}
	r.exchange.SetCollectors(collectors)
	return all
}

// run tells the collectors what is due until ctx ends.
func (r *demandReports) run(ctx context.Context) error {
	for {
		delay := demandTick
		if !r.active() {
			delay = gaugeInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.clock.After(delay):
		}
		if r.active() {
			r.tick()
		}
	}
}

// active reports whether there is, or was, a service with requests of different priorities.
func (r *demandReports) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.priorities) > 0 || len(r.gauges) > 0 || len(r.demandOnly) > 0
}

func (r *demandReports) tick() {
	rates, levels := r.source.Demand()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.uptime()
	for service, priorities := range r.priorities {
		own := rates[service]
		for _, m := range r.exchange.Due(now, service, &own, levels[service].InForce, r.sender.Connected) {
			r.sender.SendDemand(m.Side, loads.Demand{
				Service: service, Rates: own, Seq: m.Seq, Interval: m.Interval, DemandOnly: !r.listensTo[m.Side],
			})
			r.recordDemandOnly(m.Side, service)
		}
		if r.changes.Observe(now, service, levels[service], priorities) {
			r.logChange(service, levels[service], priorities)
		}
	}
	r.resumeReports(rates)
	if now >= r.gaugesAt+gaugeInterval {
		r.gaugesAt = now
		r.updateGauges(levels)
	}
}

// recordDemandOnly records whether a side sends no load reports to this entry, which has sent it
// its demand for a service. r.mu must be held.
func (r *demandReports) recordDemandOnly(side netip.AddrPort, service string) {
	if r.listensTo[side] {
		delete(r.demandOnly, side)
		return
	}
	if r.demandOnly == nil {
		r.demandOnly = map[netip.AddrPort]string{}
	}
	r.demandOnly[side] = service
}

// resumeReports asks the sides for load reports that this entry has come to need since it sent
// them its demand only. They may no longer be collectors. r.mu must be held.
func (r *demandReports) resumeReports(rates map[string]level.Rates) {
	for side, service := range r.demandOnly {
		if !r.listensTo[side] {
			continue
		}
		delete(r.demandOnly, side)
		r.sender.SendDemand(side, loads.Demand{Service: service, Rates: rates[service], Interval: demand.MinInterval})
	}
}

// receive passes on the totals of a collector.
func (r *demandReports) receive(side netip.AddrPort, t loads.Totals) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.uptime()
	best, known := r.exchange.Receive(now, t.Service, side, t.Seq, t.Totals, t.Interval)
	if !known {
		return
	}
	wall := r.clock.Now()
	r.source.SetDemandTotals(t.Service, direct.DemandTotals{
		Totals: best.Totals, AsOf: wall.Add(best.AsOf - now), Until: wall.Add(best.Until - now),
	})
}

func (r *demandReports) logChange(service string, state level.State, priorities []int) {
	r.log.Record(trail.Decision{
		Area: trail.AreaAdmission, Action: trail.ActionLevelChanged, Service: service,
		Level: r.source.DescribeLevel(service, state, priorities...),
	})
}

// updateGauges publishes the share of each priority, and the number of entries whose demand is
// added up. A gauge that is no longer updated gets 1 or 0, since tally can't remove one. r.mu
// must be held.
func (r *demandReports) updateGauges(levels map[string]level.State) {
	now := map[demandGauge]float64{}
	for service, priorities := range r.priorities {
		now[demandGauge{service, noPriority}] = float64(r.source.DemandEntries(service))
		for _, p := range priorities {
			now[demandGauge{service, p}] = demand.Share(levels[service], p)
		}
	}
	for key := range now {
		if _, ok := r.gauges[key]; !ok {
			r.createGauge(key)
		}
	}
	for key, gauge := range r.gauges {
		v, current := now[key]
		if !current && key.priority != noPriority {
			v = 1
		}
		gauge.Update(v)
	}
}

func (r *demandReports) createGauge(key demandGauge) {
	if r.gauges == nil {
		r.gauges = map[demandGauge]tally.Gauge{}
	}
	tags := map[string]string{"service": key.service}
	if key.priority == noPriority {
		r.gauges[key] = r.metrics.SubScope("demand").Tagged(tags).Gauge("entries")
		return
	}
	tags["priority"] = strconv.Itoa(key.priority)
	r.gauges[key] = r.metrics.SubScope("admission").Tagged(tags).Gauge("share")
}
