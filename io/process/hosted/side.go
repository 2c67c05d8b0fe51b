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
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/awake"
	"hawthornferry/io/process/pulse"
	"hawthornferry/io/version/order"
	"hawthornferry/io/version/pace"
	"hawthornferry/io/version/shelf"
	"hawthornferry/io/version/swarm"
)

// Times and sizes of a side.
const (
	// leastPatience is how long a transfer may bring nothing at the least. A
	// chunk takes 40 ms on a link of 9.4 Mbit/s, and a version has seconds.
	leastPatience = 300 * time.Millisecond
	// mostPause bounds the pauses after failures: the origin may be away for
	// most of the time that a version has, and each pause after is lost.
	mostPause = 500 * time.Millisecond
	// draws, uploads and inbound are the transfers under way at a time, and blockTime
	// is what a block of them takes. A chunk of some tens of KiB passes in tens of
	// milliseconds, so that the wait for each next one weighs more than what many
	// at a time cost.
	draws     = 8
	uploads   = 4
	inbound   = 6
	blockTime = 8 * time.Millisecond
	// linkShare is the part of a machine's link that weights may take: the
	// answers of the engine pass there too.
	linkShare = 0.92
	// inflowTime is how much, in time on the machine's link, may be on its way
	// to a side, and leastInflow that bound's least, in bytes: one chunk.
	inflowTime  = 200 * time.Millisecond
	leastInflow = 64 << 10
	// cacheBytes holds the chunks that several peers ask for at once.
	cacheBytes = 1 << 20
	// loadReserve is how long before the bound on versions a side loads whatever
	// the others do: entries send less and less to a replaced version then, since a
	// request must have begun on it before the bound.
	loadReserve = 600 * time.Millisecond
	// olderReserve is how long before that bound a side turns to the version
	// before the newest: time for two rounds of loads.
	olderReserve = 5500 * time.Millisecond
	// pickEvery is how often the choice between versions is made anew.
	pickEvery = 300 * time.Millisecond
)

func scaled(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// Side is the process beside one engine. Set the exported fields before Run.
type Side struct {
	Settings Settings
	Platform Platform
	Engine   shelf.Engine
	// Origin makes the client of the origin, whose address may change.
	Origin func(address func() netip.AddrPort) shelf.Origin
	Log    io.Writer

	frame   *frame
	shelf   *shelf.Shelf
	library *shelf.Library
	node    *swarm.Node
	rollout *rollout
	teller  *pulse.Teller
	roster  roster

	mu    sync.Mutex
	taken taken
}

// taken is what the parts of a side were last given: the facts, the version to load
// and the versions to fetch.
type taken struct {
	facts    *facts.Facts
	picked   chunk.Digest
	editions []chunk.Digest
}

func (t *taken) equal(o *taken) bool {
	return t.facts == o.facts && t.picked == o.picked && slices.Equal(t.editions, o.editions)
}

// Run runs the side until ctx ends.
func (s *Side) Run(ctx context.Context) error {
	f, err := newFrame(s.Settings, s.Platform, s.Log)
	if err != nil {
		return err
	}
	s.frame = f
	peers, err := listen("peers", s.Settings.VM.Address)
	if err != nil {
		return err
	}
	metrics, err := listen("metrics", s.Settings.Metrics)
	if err != nil {
		return err
	}
	s.build()
	return f.run(ctx, []net.Listener{peers}, []net.Listener{metrics})
}

func (s *Side) build() {
	f := s.frame
	s.rollout = newRollout(s.Settings)
	s.shelf = &shelf.Shelf{Clock: f.clock, Log: f.log, Engine: s.Engine, Origin: s.Origin(s.originAddress)}
	s.library = &shelf.Library{
		Self: f.self, Clock: f.clock, Log: f.log, Shelf: s.shelf,
		Peers: s.sides, Read: func(*shelf.Edition) { s.refresh() },
	}
	rate := scaledRate(s.Settings.Link, linkShare)
	s.node = &swarm.Node{
		Self: f.self, Clock: f.clock, Log: f.log, Logger: f.logger, Metrics: f.metrics,
		Members: s.members, Staging: s.shelf, Source: s.shelf, CacheBytes: cacheBytes,
		Burst: burst.Config{
			LeastPatience: leastPatience, MostPause: mostPause, Draws: draws, Uploads: uploads, Inbound: inbound,
		},
		BlockTime: blockTime,
		Inflow:    &pace.Window{Clock: f.clock, Most: max(scaledRate(rate, inflowTime.Seconds()), leastInflow)},
		Pacer:     pace.New(pace.Config{Up: rate, Down: rate}, f.clock),
	}
	orderer := &order.Orderer{
		Self: f.self, Clock: f.clock, Awake: awake.Now, Log: f.log, Source: s.rollout, Engine: s.shelf,
		Verified: s.verified, Draining: func() bool { return false }, Deadline: s.loadDeadline,
	}
	s.teller = &pulse.Teller{Clock: f.clock, Log: f.log, Engine: s.Engine, Zone: s.Settings.VM.Zone}
	s.teller.Noticed = orderer.Notice
	s.shelf.Loading = s.teller.Announce
	f.served = s.served
	f.handlers[link.PurposeWeights] = s.node.Handler()
	f.handlers[link.PurposeOrders] = orderer.Handler()
	f.handlers[link.PurposeLoad] = s.teller.Handler()
	f.handlers[link.PurposeEditions] = s.library.Handler()
	f.parts = append(
		f.parts,
		part{"weights", s.node.Run},
		part{"load orders", orderer.Run},
		part{"manifests", s.library.Run},
		part{"load reports", s.teller.Run},
		part{"wanted version", s.follow},
	)
}

func scaledRate(rate int64, share float64) int64 { return int64(float64(rate) * share) }

// follow takes each new belief to the parts that bring and load weights.
func (s *Side) follow(ctx context.Context) error {
	for {
		changed := s.frame.feed.Changed()
		s.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-s.frame.clock.After(pickEvery):
		}
	}
}

// refresh takes the belief and what has been read of the wanted versions to
// the distribution and to the load orders.
func (s *Side) refresh() {
	f := s.frame.feed.Current()
	model, versions, ok := s.wanted(f)
	if !ok {
		return
	}
	s.library.Want(model, versions)
	var editions []*shelf.Edition
	var wanted []swarm.Wanted
	for _, v := range versions {
		if e, ok := s.shelf.Find(model, v); ok {
			editions = append(editions, e)
			wanted = append(wanted, swarm.Wanted{Model: model, Version: e.Manifest.Version, Manifest: e.Digest})
		}
	}
	if len(editions) == 0 {
		return
	}
	s.hand(f, editions, wanted)
}

// hand gives the parts a view unless it is the one that they have: time alone changes
// it only now and then.
func (s *Side) hand(f *facts.Facts, editions []*shelf.Edition, wanted []swarm.Wanted) {
	picked := s.pick(f, editions)
	now := taken{facts: f, picked: picked.Digest}
	for _, e := range editions {
		now.editions = append(now.editions, e.Digest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.equal(&s.taken) {
		return
	}
	s.taken = now
	service, _ := f.Table.ServiceByName(s.Settings.VM.Service)
	v := viewOf(s.Settings, f, service, picked, s.roster.of(s.Settings, f))
	s.rollout.set(v)
	s.node.Update(v, wanted)
}

func (s *Side) wanted(f *facts.Facts) (string, []uint64, bool) {
	return wantedOf(f, s.Settings.VM.Service, s.frame.clock.Now(), s.Settings.Bounds.Version)
}

// pick is the version to load: the newest, unless its weights are not whole
// and the time for the one before it, whose weights are, is running out.
// Without that, nobody would be served from the end of that time until the
// newest one can be had.
func (s *Side) pick(f *facts.Facts, editions []*shelf.Edition) *shelf.Edition {
	newest := editions[0]
	if _, whole := s.verified(newest.Digest); whole || len(editions) == 1 {
		return newest
	}
	older := editions[1]
	due, ok := f.Due(older.Model, s.frame.clock.Now().Add(olderReserve-s.Settings.Bounds.Version))
	if _, whole := s.verified(older.Digest); whole && ok && due.Version >= older.Version {
		return older
	}
	return newest
}

// members are the other sides, whatever the version.
func (s *Side) members(chunk.Digest) []fleet.VM { return s.sides() }

func (s *Side) originAddress() netip.AddrPort { return s.frame.feed.Current().Origin.Address }

// sides are the other sides.
func (s *Side) sides() []fleet.VM {
	return s.roster.of(s.Settings, s.frame.feed.Current())[1:]
}

// served is what the engine beside this process serves, once it has answered.
func (s *Side) served() []place.Served {
	version, known := s.teller.Serving()
	if !known {
		return nil
	}
	return []place.Served{{Service: s.Settings.VM.Service, Address: s.Settings.Target, Version: version}}
}

// verified returns the manifest of a version that is staged whole.
func (s *Side) verified(d chunk.Digest) (chunk.Manifest, bool) {
	for _, p := range s.node.Progress() {
		if p.Wanted.Manifest == d && p.Verified {
			return p.Manifest, true
		}
	}
	return chunk.Manifest{}, false
}

// loadDeadline is when entries send nothing more to what the engine serves.
func (s *Side) loadDeadline() roll.Deadline {
	serving, known := s.teller.Serving()
	bound := s.Settings.Bounds.Version
	f := s.frame.feed.Current()
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
	return roll.Deadline{Bounded: true, Left: bound - loadReserve - s.frame.clock.Since(since)}
}
