package hosted

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/table"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/plan"
	"hawthornferry/core/version/roll"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/loads"
	"hawthornferry/io/process/uptime"
	"hawthornferry/io/version/adapt"
	"hawthornferry/io/version/order"
	"hawthornferry/io/version/pace"
	"hawthornferry/io/version/swarm"
)

// Times and sizes of a side.
const (
	// minStallTimeout is the minimum time for which a transfer may make no progress
	// before it is given up. A chunk takes 40 ms on a link of 9.4 Mbit/s, and a version
	// has to be loaded within seconds.
	minStallTimeout = 300 * time.Millisecond
	// maxRetryPause limits the pauses after failures. The origin may be unreachable for
	// most of a version's time limit, and a pause after its return wastes what is left.
	maxRetryPause = 500 * time.Millisecond
	// originDownloads, peerUploads and peerDownloads are the numbers of concurrent
	// transfers, and blockTime is the time that one block of them takes on the link. A
	// chunk of some tens of KiB takes tens of milliseconds, so that the wait between
	// two chunks costs more than running many transfers at once.
	originDownloads = 6
	peerUploads     = 3
	peerDownloads   = 3
	blockTime       = 8 * time.Millisecond
	// weightLinkShare is the part of the VM's link that transfers of weights may use. The
	// engine's answers need the rest.
	weightLinkShare = 0.92
	// inflightTime limits the bytes that were requested and have not arrived, as time on
	// the VM's link. minInflight is the lower bound of that limit in bytes: one chunk.
	inflightTime = 200 * time.Millisecond
	minInflight  = 64 << 10
	// cacheBytes is the size of the cache for chunks that several peers request at
	// about the same time.
	cacheBytes = 1 << 20
	// loadReserve is how long before the time limit for versions a side loads the new
	// version whatever the other sides do. A request must have started on a replaced
	// version before the limit, so that entries send it less and less by then.
	loadReserve = 600 * time.Millisecond
	// olderReserve is how long before that limit a side falls back to the version before
	// the newest: time for two rounds of loads.
	olderReserve = 5500 * time.Millisecond
	// selectInterval is how often the choice between versions is repeated without a
	// change of the platform's state.
	selectInterval = 300 * time.Millisecond
)

func scaleDuration(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// Side is the process next to one engine: it fetches the weights of new model versions,
// shares them with other sides, orders the engine to load them and reports the engine's
// load to entries. Set the exported fields before Run.
type Side struct {
	Settings Settings
	Platform Platform
	Engine   adapt.Engine
	// Origin creates the client of the origin server, whose address may change.
	Origin func(address func() netip.AddrPort) adapt.Origin
	Log    io.Writer

	process       *process
	adapter       *adapt.Adapter
	manifests     *adapt.ManifestReader
	node          *swarm.Node
	rollout       *rolloutView
	loadPublisher *loads.Publisher
	vms           vmCache
	fetchPlan     fetchPlanner

	mu     sync.Mutex
	update update
}

// update is the input of the components that distribute and load weights: the platform's
// state, the version to load and the versions to fetch.
type update struct {
	facts     *facts.Facts
	selected  chunk.Digest
	manifests []chunk.Digest
	// priorities are those of the manifests.
	priorities []spread.Priority
}

func (u *update) equal(o *update) bool {
	return u.facts == o.facts && u.selected == o.selected && slices.Equal(u.manifests, o.manifests) && slices.Equal(u.priorities, o.priorities)
}

// Run runs the side until ctx ends.
func (s *Side) Run(ctx context.Context) error {
	p, err := newProcess(s.Settings, s.Platform, s.Log)
	if err != nil {
		return err
	}
	s.process = p
	peers, err := listen("peers", s.Settings.VM.Address)
	if err != nil {
		return err
	}
	metrics, err := listen("metrics", s.Settings.MetricsAddr)
	if err != nil {
		return err
	}
	s.build()
	return p.run(ctx, []net.Listener{peers}, []net.Listener{metrics})
}

func (s *Side) build() {
	p := s.process
	s.rollout = newRolloutView(s.Settings)
	s.adapter = &adapt.Adapter{Clock: p.clock, Log: p.log, Engine: s.Engine, Origin: s.Origin(s.originAddress)}
	s.manifests = &adapt.ManifestReader{
		Self: p.self, Clock: p.clock, Log: p.log, Adapter: s.adapter,
		Peers: s.sides, OnManifest: func(*adapt.KnownVersion) { s.refresh() },
	}
	rate := scaleRate(s.Settings.LinkRate, weightLinkShare)
	s.node = &swarm.Node{
		Self: p.self, Clock: p.clock, Log: p.log, Logger: p.logger, Metrics: p.metrics,
		Members: s.members, Staging: s.adapter, Source: s.adapter, CacheBytes: cacheBytes,
		Spread: spread.Config{
			MinTimeout: minStallTimeout, MaxBackoff: maxRetryPause, OriginSlots: originDownloads, UploadSlots: peerUploads, DownloadSlots: peerDownloads,
		},
		MaxBlockTime: blockTime,
		InflowWindow: &pace.Window{Clock: p.clock, MaxBytes: max(scaleRate(rate, inflightTime.Seconds()), minInflight)},
		Pacer:        pace.New(pace.Config{Up: rate, Down: rate}, p.clock),
	}
	controller := &order.Controller{
		Self: p.self, Clock: p.clock, Uptime: uptime.Now, Log: p.log, Source: s.rollout, Engine: s.adapter,
		VerifiedManifest: s.verified, Draining: func() bool { return false }, Deadline: s.loadDeadline,
	}
	s.loadPublisher = &loads.Publisher{
		Clock: p.clock, Log: p.log, Engine: s.Engine, Zone: s.Settings.VM.Zone, Uptime: uptime.Now,
		Warmup:    func() time.Duration { return s.warmup().Duration },
		ColdLimit: s.coldLimit,
	}
	s.loadPublisher.OnUrgentChange = controller.Recheck
	s.adapter.OnLoading = s.loadPublisher.Announce
	p.served = s.served
	p.handlers[link.PurposeWeights] = s.node.Handler()
	p.handlers[link.PurposeOrders] = controller.Handler()
	p.handlers[link.PurposeLoad] = s.loadPublisher.Handler()
	p.handlers[link.PurposeManifests] = s.manifests.Handler()
	p.components = append(
		p.components,
		component{"weights", s.node.Run},
		component{"load orders", controller.Run},
		component{"manifests", s.manifests.Run},
		component{"load reports", s.loadPublisher.Run},
		component{"wanted version", s.watchState},
	)
}

func scaleRate(rate int64, share float64) int64 { return int64(float64(rate) * share) }

// watchState refreshes the wanted versions at each change of the platform's state and
// every selectInterval, until ctx ends.
func (s *Side) watchState(ctx context.Context) error {
	for {
		changed := s.process.feed.Changed()
		s.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-s.process.clock.After(selectInterval):
		}
	}
}

// refresh determines the wanted versions, and passes those whose manifests are known to
// the distribution and to the load orders.
func (s *Side) refresh() {
	f := s.process.feed.Current()
	model, versions, ok := s.wanted(f)
	if !ok {
		return
	}
	s.manifests.SetWanted(model, versions)
	var known []*adapt.KnownVersion
	var wanted []swarm.WantedVersion
	for _, v := range versions {
		if e, ok := s.adapter.FindVersion(model, v); ok {
			known = append(known, e)
			wanted = append(wanted, swarm.WantedVersion{Model: model, Version: e.Manifest.Version, Manifest: e.Digest})
		}
	}
	if len(known) == 0 {
		return
	}
	s.apply(f, known, wanted)
}

// apply passes a new view to the components unless it equals the last one. Most calls are
// caused by the passage of time, which rarely changes it.
func (s *Side) apply(f *facts.Facts, known []*adapt.KnownVersion, wanted []swarm.WantedVersion) {
	p, planned := s.planFetches(f, known)
	selected := s.selectVersion(f, known, p, planned)
	next := update{facts: f, selected: selected.Digest}
	for i, e := range known {
		next.manifests = append(next.manifests, e.Digest)
		if planned {
			wanted[i].Priority = spread.PriorityOf(p, e.Version)
		}
		next.priorities = append(next.priorities, wanted[i].Priority)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.equal(&s.update) {
		return
	}
	s.update = next
	service, _ := f.Table.ServiceByName(s.Settings.VM.Service)
	v := newView(s.Settings, f, service, selected, s.vms.get(s.Settings, f))
	s.rollout.set(v)
	s.node.Update(v, wanted)
}

func (s *Side) wanted(f *facts.Facts) (string, []uint64, bool) {
	return versionsWanted(f, s.Settings.VM.Service, s.process.clock.Now(), s.wantedRules(f))
}

// warmup returns how the side's engine behaves after its start; zero before the
// configuration is known.
func (s *Side) warmup() table.Warmup {
	f := s.process.feed.Current()
	if f.Table == nil {
		return table.Warmup{}
	}
	service, _ := f.Table.ServiceByName(s.Settings.VM.Service)
	return service.Warmup
}

// coldLimit returns how many requests a second the side's engine may get while it is cold;
// false before the configuration is known.
func (s *Side) coldLimit() (perSecond int, known bool) {
	known = s.process.feed.Current().Table != nil
	return s.Settings.Bounds.ColdRate.PerSecond(s.warmup().MaxRate), known
}

// selectVersion returns the version to load: the newest, unless its weights are
// incomplete while those of the version before it are complete and that one's time limit
// is about to expire. Loading the older one then keeps requests served from that limit
// until the newest version is available. A plan of the fetches says whether to load it.
func (s *Side) selectVersion(f *facts.Facts, known []*adapt.KnownVersion, p plan.Plan, planned bool) *adapt.KnownVersion {
	newest := known[0]
	if _, complete := s.verified(newest.Digest); complete || len(known) == 1 {
		return newest
	}
	older := known[1]
	if planned {
		if _, complete := s.verified(older.Digest); complete && p.LoadOlder {
			return older
		}
		return newest
	}
	due, ok := f.Due(older.Model, s.process.clock.Now().Add(olderReserve-s.Settings.Bounds.OldVersionPeriod))
	if _, complete := s.verified(older.Digest); complete && ok && due.Version >= older.Version {
		return older
	}
	return newest
}

// members returns the other sides of the service, for every version.
func (s *Side) members(chunk.Digest) []fleet.VM { return s.sides() }

func (s *Side) originAddress() netip.AddrPort { return s.process.feed.Current().Origin.Address }

// sides returns the other sides of the service.
func (s *Side) sides() []fleet.VM {
	return s.vms.get(s.Settings, s.process.feed.Current())[1:]
}

// served returns the version that the engine next to this process serves; nil before the
// engine's first answer.
func (s *Side) served() []place.TargetVersion {
	version, known := s.loadPublisher.ServedVersion()
	if !known {
		return nil
	}
	return []place.TargetVersion{{Service: s.Settings.VM.Service, Address: s.Settings.EngineAddr, Version: version}}
}

// verified returns the manifest of a version whose weights are completely staged and
// verified.
func (s *Side) verified(d chunk.Digest) (chunk.Manifest, bool) {
	for _, p := range s.node.Progress() {
		if p.Wanted.Manifest == d && p.Verified {
			return p.Manifest, true
		}
	}
	return chunk.Manifest{}, false
}

// loadDeadline returns how much time is left until the engine must start to load a newer
// version: loadReserve before entries stop sending requests to the version that it
// serves.
func (s *Side) loadDeadline() roll.Deadline {
	serving, known := s.loadPublisher.ServedVersion()
	bound := s.Settings.Bounds.OldVersionPeriod
	f := s.process.feed.Current()
	if !known || serving == 0 || bound <= 0 || f.Table == nil {
		return roll.Deadline{}
	}
	service, _ := f.Table.ServiceByName(s.Settings.VM.Service)
	if service.Engine == nil {
		return roll.Deadline{}
	}
	since, replaced := f.ReplacedSince(service.Engine.Model, serving)
	if !replaced {
		return roll.Deadline{}
	}
	return roll.Deadline{Bounded: true, Remaining: bound - loadReserve - s.process.clock.Since(since)}
}
