// Package burst decides how the chunks of wanted versions reach every side.
// A State takes events and the time at which they happened and answers with
// actions; it holds no chunk bytes and has no socket, goroutine or clock.
//
// Each chunk leaves the origin once and enters each region once: the side
// that ranks first for it in the origin's region draws it, and the regions
// hand it on along a chain. Inside a region sides trade chunks by offers: a
// side with a free upload slot offers to a neighbour that lacks something,
// and the neighbour picks the chunk that is rarest around it.
package burst

import (
	"math/rand/v2"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/version/chunk"
)

// Bounds and customary values.
const (
	// DefaultDegree is how many neighbours a side dials; about as many
	// dial it.
	DefaultDegree = 6
	// DefaultUploads is how many chunks a side sends at a time.
	DefaultUploads = 3
	// DefaultInbound is how many traded chunks a side takes at a time.
	DefaultInbound = 4
	// DefaultTurns is how many chunks cross a region link at a time for
	// each pair of regions.
	DefaultTurns = 2
	// WideTurns is the same for a link that carries more than the sides can
	// take in: the wait for each next chunk then weighs more than the time
	// that a chunk takes along the chain.
	WideTurns = 4
	// DefaultFanout has each region hand a chunk on to one other: the link out of
	// no region then carries more than one copy.
	DefaultFanout = 1
	// WideFanout is the same for links that carry more than the sides can take in:
	// the number of regions that a chunk passes one after the other weighs more.
	WideFanout = 2
	// DefaultDraws is how many chunks a region draws from the origin at a
	// time.
	DefaultDraws = 4
	// DefaultLeastPatience is above what a busy machine or a pause of the
	// runtime costs.
	DefaultLeastPatience = 500 * time.Millisecond
	// DefaultMostPause keeps a thousand sides that wait for one origin to
	// some hundred tries a second.
	DefaultMostPause = 5 * time.Second
	// MaxPeers bounds the peers of which a side keeps state.
	MaxPeers = 256
)

// Member is one side and its region.
type Member struct {
	Name   string
	Region string
}

// Set is one wanted version and the sides that want it, this one included.
type Set struct {
	ID       chunk.Digest
	Manifest chunk.Manifest
	Members  []Member
	// Keep marks a version that is no longer wanted but whose chunks are not
	// to be discarded yet; nothing of it is fetched.
	Keep bool
	// Staged are the chunks that were found in the staging area, verified.
	Staged []chunk.Digest
}

// Config tunes a State. Zero values are replaced by the defaults. Direct has
// every side draw everything from the origin; it is the load tool's baseline.
type Config struct {
	Self         Member
	OriginRegion string
	Weigh        envdoc.Weigh
	Degree       int
	Uploads      int
	Inbound      int
	Turns        int
	Fanout       int
	Draws        int
	Direct       bool
	// LeastPatience bounds from below how long a transfer may bring nothing
	// and how long a rank waits for the one before it.
	LeastPatience time.Duration
	// MostPause bounds how long a source that failed, or a peer that does not
	// answer, is left alone. After an outage that much time may be lost.
	MostPause time.Duration
	Seed      uint64
}

// State is the belief and the plans of one side. It is not safe for
// concurrent use.
type State struct {
	cfg   Config
	rng   *rand.Rand
	sets  []*set
	items map[chunk.Digest]*item
	peers map[string]*peer
	// order holds the peers by name, so that decisions do not hang on the
	// order of a map.
	order []*peer
	// dials are the neighbours that this side connects to.
	dials []string
	// uploads counts the upload slots in use.
	uploads int
	// suspects are sides that missed their turn, with the time until which
	// they are passed over.
	suspects map[string]time.Time
	// ended are sides that were found to have ended, with the time until which they
	// are taken not to have started again.
	ended map[string]time.Time
	// passedOver is when a side was last found to have ended.
	passedOver time.Time
	// troubled are the upstreams, empty for the origin, from which this side
	// found nothing to be had.
	troubled map[string]bool
	// flowed is when a chunk last came from an upstream.
	flowed map[string]time.Time
	// originUp is since when the origin has answered this side, zero if it failed
	// last, and originDown when it last failed.
	originUp   time.Time
	originDown time.Time
	// blameEnd is when the last peer that is left alone is asked again.
	blameEnd time.Time
	// stale is set when the next settle must look for draws and imports.
	stale  bool
	trades int
	timing map[Via]*timing
	out    []Action
}

// set is one wanted version with the maps of what is where.
type set struct {
	id       chunk.Digest
	keep     bool
	manifest chunk.Manifest
	items    []*item
	members  map[string][]string // by region
	regions  []string            // all regions with members, in rendezvous order
	have     Bits
	pending  Bits
	seen     Bits     // held by some side of the region
	copies   []uint16 // neighbours that hold each chunk
	upstream []string // the region each chunk comes from, empty for the origin
	place    []int    // this side's rank for each chunk, unranked until needed
	// extra is what this side drew beyond the region's first copy, in bytes,
	// and extraPlace its rank among those that may.
	extra      int64
	extraPlace int
}

// place is one position of a chunk in a set; a chunk may be in several.
type place struct {
	set   *set
	index int
}

// upstream is the region from which the own region gets the chunk, empty for
// the origin.
func (p place) upstream() string { return p.set.upstream[p.index] }

// item is one wanted chunk. At most one transfer of it runs at a time.
type item struct {
	ref      chunk.Ref
	places   []place
	held     bool
	via      Via
	from     string
	began    time.Time
	since    time.Time // of the first byte, once bytes flow
	deadline time.Time
	// dueAt is when this chunk's turn came; ranked step-in counts from it.
	dueAt   time.Time
	lostAt  time.Time
	retryAt time.Time
	// flowing is set once bytes of the transfer came in.
	flowing bool
	// asked is set once all of an import has been asked for, and early once this
	// side has passed on its turn for the chunk.
	asked bool
	early bool
	// badTrades counts the neighbours' failures to send the chunk.
	badTrades int
	attempts  int // sources tried since the last draw from the origin
	// queued is set until the source has been asked.
	queued bool
	// later is set while the peer asked is known to lack the chunk as yet. laters
	// counts the answers of that kind in a row, and lackedSince is when the first
	// came. probing is set while a peer is asked only whether it has the chunk.
	later       bool
	laters      int
	lackedSince time.Time
	probing     bool
	fails       int
	// tried is when some side of the region, this one or another, was last known to
	// keep trying to fetch the chunk.
	tried time.Time
}

func (it *item) pending() bool { return it.via != "" }

// peer is what is known of another side.
type peer struct {
	Member
	connected bool
	maps      map[chunk.Digest]Bits
	// early is what the peer heard to be held in the region of versions that
	// this side does not know yet.
	early map[chunk.Digest]Bits
	// full is set from a refused offer until the peer is ready again.
	full      bool
	fullUntil time.Time
	// owed is set while this side has refused the peer's offer.
	owed bool
	// uploads counts the upload slots in use for the peer.
	uploads   int
	uploadEnd time.Time
	badUntil  time.Time
	// stalled is set when the last fault was a stall; nothing is offered
	// to such a peer either, since it would hold an upload slot in vain.
	stalled   bool
	strikes   int
	dialAt    time.Time
	dialFails int
}

// New returns the State of a side that wants nothing yet.
func New(cfg Config) *State {
	cfg.Degree = orDefault(cfg.Degree, DefaultDegree)
	cfg.Uploads = orDefault(cfg.Uploads, DefaultUploads)
	cfg.Inbound = orDefault(cfg.Inbound, DefaultInbound)
	cfg.Turns = orDefault(cfg.Turns, DefaultTurns)
	cfg.Fanout = orDefault(cfg.Fanout, DefaultFanout)
	cfg.Draws = orDefault(cfg.Draws, DefaultDraws)
	if cfg.MostPause <= 0 {
		cfg.MostPause = DefaultMostPause
	}
	if cfg.LeastPatience <= 0 {
		cfg.LeastPatience = DefaultLeastPatience
	}
	return &State{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		items:    map[chunk.Digest]*item{},
		peers:    map[string]*peer{},
		timing:   map[Via]*timing{},
		suspects: map[string]time.Time{},
		ended:    map[string]time.Time{},
		troubled: map[string]bool{},
		flowed:   map[string]time.Time{},
	}
}

func orDefault(v, def int) int {
	if v <= 0 {
		return def
	}
	return v
}

// SetWeigh takes the document's weighing of origin bytes against time.
func (s *State) SetWeigh(w envdoc.Weigh) { s.cfg.Weigh = w }

// SetTurns changes how many chunks cross a region link at a time.
func (s *State) SetTurns(n int) { s.cfg.Turns = n }

// SetFanout changes to how many regions one hands a chunk on; it takes effect at
// the next Update.
func (s *State) SetFanout(n int) { s.cfg.Fanout = n }

// SetOriginRegion changes the region in which the origin lies; it takes
// effect at the next Update.
func (s *State) SetOriginRegion(region string) { s.cfg.OriginRegion = region }

// Held reports whether the side holds the chunk, verified.
func (s *State) Held(d chunk.Digest) bool {
	it, ok := s.items[d]
	return ok && it.held
}

// Wanted reports whether some wanted version has the chunk, and its size.
func (s *State) Wanted(d chunk.Digest) (chunk.Ref, bool) {
	it, ok := s.items[d]
	if !ok {
		return chunk.Ref{}, false
	}
	return it.ref, true
}

// Tally is how much of one wanted version a side holds.
type Tally struct {
	Have  int
	Total int
	Bytes int64
}

// Tally returns the progress of the wanted version id.
func (s *State) Tally(id chunk.Digest) (Tally, bool) {
	for _, st := range s.sets {
		if st.id != id {
			continue
		}
		t := Tally{Total: len(st.items)}
		for _, it := range st.items {
			if it.held {
				t.Have++
				t.Bytes += it.ref.Size
			}
		}
		return t, true
	}
	return Tally{}, false
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

// settle takes every decision that the last event made possible and returns
// the actions gathered since.
func (s *State) settle(now time.Time) []Action {
	if s.stale {
		s.stale = false
		s.acquire(now)
	}
	s.offer(now)
	out := s.out
	s.out = nil
	return out
}
