// Package spread decides how the chunks of wanted model versions reach every
// side, the process that runs beside one target. It is called by
// io/version/swarm, which does the network and disk work. A State is given
// events with the time at which they happened and returns the actions to take;
// it holds no chunk bytes and has no socket, goroutine or clock.
//
// Each chunk is fetched from the origin once and enters each region once. The
// side that ranks first for the chunk (rendezvous hashing) in the first region
// fetches it from the origin, and the regions pass it on from one to the next.
// Within a region, sides exchange chunks by offers: a side with a free upload
// slot sends an offer to a neighbour that lacks something it holds, and the
// neighbour requests the chunk that the fewest of its neighbours hold.
package spread

import (
	"math/rand/v2"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/version/chunk"
)

// Defaults and limits of a Config.
const (
	// DefaultDegree is how many neighbours a side connects to; about as many
	// connect to it.
	DefaultDegree = 6
	// DefaultUploadSlots is how many chunks a side sends at a time.
	DefaultUploadSlots = 3
	// DefaultDownloadSlots is how many chunks a side takes from its neighbours at a
	// time.
	DefaultDownloadSlots = 4
	// DefaultImportSlots is how many chunks are transferred at a time between each
	// pair of regions.
	DefaultImportSlots = 2
	// FastLinkImportSlots is the same for a region link that carries more than the
	// sides can receive: starting the next chunk without delay then matters more than
	// how soon a single chunk has passed all regions.
	FastLinkImportSlots = 4
	// DefaultFanout makes each region pass a chunk on to one other region, so
	// that no region's outgoing link carries more than one copy.
	DefaultFanout = 1
	// FastLinkFanout is the same for links that carry more than the sides can receive:
	// the number of regions that a chunk passes in sequence then matters more.
	FastLinkFanout = 2
	// DefaultOriginSlots is how many chunks a region fetches from the origin at a
	// time.
	DefaultOriginSlots = 4
	// DefaultMinTimeout is longer than the delays that a busy machine or a
	// pause of the Go runtime causes.
	DefaultMinTimeout = 500 * time.Millisecond
	// DefaultMaxBackoff limits a thousand sides that wait for one origin to a few
	// hundred attempts a second.
	DefaultMaxBackoff = 5 * time.Second
	// MaxPeers bounds the number of peers for which a side keeps state.
	MaxPeers = 256
)

// Member is the name of a side and its region.
type Member struct {
	Name   string
	Region string
}

// WantedVersion is a version and the sides that want it, this one included.
type WantedVersion struct {
	ID       chunk.Digest
	Manifest chunk.Manifest
	Members  []Member
	// KeepOnly marks a version that is no longer wanted but whose chunks must not be
	// discarded yet. Nothing of it is fetched.
	KeepOnly bool
	// Priority is the version's place in the order of fetches. Either all wanted versions
	// have one or none.
	Priority Priority
	// Staged are the verified chunks that were found in the staging area.
	Staged []chunk.Digest
}

// Config tunes a State. Zero values are replaced by the defaults. OriginOnly makes
// every side fetch everything from the origin; the load tool (bench/burst) uses
// it as its baseline.
type Config struct {
	Self          Member
	OriginRegion  string
	Goal          envdoc.Goal
	Degree        int
	UploadSlots   int
	DownloadSlots int
	ImportSlots   int
	Fanout        int
	OriginSlots   int
	OriginOnly    bool
	// MinTimeout is the lower bound of every transfer timeout and of the time
	// that a side waits for the one that ranks before it.
	MinTimeout time.Duration
	// MaxBackoff is the upper bound of the retry delay of a failed source or of a
	// peer that does not answer. After an outage up to that much time is lost.
	MaxBackoff time.Duration
	Seed       uint64
}

// State holds what one side knows of its peers and which transfers run. It is
// not safe for concurrent use.
type State struct {
	cfg      Config
	rng      *rand.Rand
	versions []*version
	chunks   map[chunk.Digest]*chunkState
	peers    map[string]*peer
	// sortedPeers holds the peers sorted by name, so that decisions do not
	// depend on map order.
	sortedPeers []*peer
	// dialNames are the neighbours that this side connects to (sidesToDial).
	dialNames []string
	// uploads counts the upload slots in use, and uploadSlots is how many may be.
	uploads     int
	uploadSlots int
	// suspects are sides that did not fetch a chunk in time, with the time until
	// which they are skipped in the ranking.
	suspects map[string]time.Time
	// down are sides that were reported as not running, with the time until which
	// they are skipped; after that they may have been restarted.
	down map[string]time.Time
	// lastDownAt is when a side was last found not to run.
	lastDownAt time.Time
	// unavailable holds the upstreams (regions, or "" for the origin) from which
	// this side's own attempts failed.
	unavailable map[string]bool
	// supply is how long chunks from each upstream usually take.
	supply map[string]*supplyTime
	// wantedSince is when this side was first told of a version to fetch.
	wantedSince time.Time
	// lastReceived is when a chunk last came from an upstream.
	lastReceived map[string]time.Time
	// ordered is set while the wanted versions have priorities.
	ordered bool
	// originUpSince is since when the origin has answered this side, zero if its
	// last request failed; originFailedAt is when a request last failed.
	originUpSince  time.Time
	originFailedAt time.Time
	// avoidEnd is when the last of the peers that are avoided is used again.
	avoidEnd time.Time
	// fetchesDue is set when the next decide must look for chunks to fetch.
	fetchesDue    bool
	inboundTrades int
	durations     map[Via]*durations
	actions       []Action
}

// version is one wanted version, with sets of the chunks that are held here and elsewhere.
type version struct {
	id              chunk.Digest
	keepOnly        bool
	priority        Priority
	manifest        chunk.Manifest
	chunks          []*chunkState
	members         map[string][]string // by region
	regions         []string            // all regions with members, in rendezvous order
	heldHere        Bits
	pending         Bits
	heldInRegion    Bits     // held by some side of the region
	neighbourCopies []uint16 // number of neighbours that hold each chunk
	upstream        []string // the region each chunk comes from, empty for the origin
	// received is when a chunk of the version last came from each upstream, and returned when
	// one last did after none had come for some time.
	received, returned map[string]time.Time
	ranks              []int // this side's rank for each chunk, rankUnknown until needed
	// extraBytes is how much this side fetched from the origin beyond the region's
	// first copy; extraRank is its rank among the sides that may do so.
	extraBytes int64
	extraRank  int
}

// position is the index of a chunk in one version; several versions may share a chunk.
type position struct {
	version *version
	index   int
}

// upstream is the region from which this side's region gets the chunk, empty for
// the origin.
func (p position) upstream() string { return p.version.upstream[p.index] }

// chunkState is one wanted chunk. At most one transfer of it runs at a time.
type chunkState struct {
	ref         chunk.Ref
	positions   []position
	held        bool
	via         Via
	source      string
	startedAt   time.Time
	firstByteAt time.Time // when the first byte came, once receiving is set
	deadline    time.Time
	// dueAt is when the chunk became due; rankDelay counts from it.
	dueAt            time.Time
	unreachableSince time.Time
	retryAt          time.Time
	failedAt         time.Time // when an attempt of this side last failed
	// receiving is set once bytes of the transfer came in.
	receiving bool
	// fullyRequested is set once every byte of an import has been requested, and
	// announcedEarly once the region was told of the chunk before it was complete.
	fullyRequested bool
	announcedEarly bool
	// failedTrades counts the neighbours' failures to send the chunk.
	failedTrades int
	attempts     int // sources tried since the last request to the origin
	// queued is set until the request has been sent to the source.
	queued bool
	// awaitingPeer is set while the peer that was asked is known not to hold the
	// chunk yet. deferrals counts such answers in a row, and deferredSince is when
	// the first came. probing is set while a peer is asked only whether it has the
	// chunk.
	awaitingPeer  bool
	deferrals     int
	deferredSince time.Time
	probing       bool
	failures      int
	// retryNoticeAt is when a side of the region, this one or another, last reported that
	// it keeps trying to fetch the chunk.
	retryNoticeAt time.Time
}

func (c *chunkState) pending() bool { return c.via != "" }

// peer is what is known of another side.
type peer struct {
	Member
	connected  bool
	heldChunks map[chunk.Digest]Bits
	// earlyInRegion holds the chunks that the peer said are held in the region,
	// for versions that this side does not know yet.
	earlyInRegion map[chunk.Digest]Bits
	// refusing is set from when the peer refused an offer until it accepts offers again.
	refusing      bool
	refusingUntil time.Time
	// owedAcceptOffers is set while this side has refused the peer's offer and not yet
	// sent it an AcceptOffers.
	owedAcceptOffers bool
	// uploads counts the upload slots in use for the peer.
	uploads        int
	uploadDeadline time.Time
	avoidUntil     time.Time
	// lastFaultStalled is set when the last fault was a stall. Such a peer gets no
	// offers either, since it would hold an upload slot without using it.
	lastFaultStalled  bool
	consecutiveFaults int
	nextDialAt        time.Time
	dialFails         int
}

// New returns the State of a side that wants nothing yet.
func New(cfg Config) *State {
	cfg.Degree = orDefault(cfg.Degree, DefaultDegree)
	cfg.UploadSlots = orDefault(cfg.UploadSlots, DefaultUploadSlots)
	cfg.DownloadSlots = orDefault(cfg.DownloadSlots, DefaultDownloadSlots)
	cfg.ImportSlots = orDefault(cfg.ImportSlots, DefaultImportSlots)
	cfg.Fanout = orDefault(cfg.Fanout, DefaultFanout)
	cfg.OriginSlots = orDefault(cfg.OriginSlots, DefaultOriginSlots)
	if cfg.MaxBackoff <= 0 {
		cfg.MaxBackoff = DefaultMaxBackoff
	}
	if cfg.MinTimeout <= 0 {
		cfg.MinTimeout = DefaultMinTimeout
	}
	return &State{
		cfg:          cfg,
		uploadSlots:  cfg.UploadSlots,
		rng:          rand.New(rand.NewPCG(cfg.Seed, 0)),
		chunks:       map[chunk.Digest]*chunkState{},
		peers:        map[string]*peer{},
		durations:    map[Via]*durations{},
		suspects:     map[string]time.Time{},
		down:         map[string]time.Time{},
		unavailable:  map[string]bool{},
		lastReceived: map[string]time.Time{},
		supply:       map[string]*supplyTime{},
	}
}

func orDefault(v, def int) int {
	if v <= 0 {
		return def
	}
	return v
}

// SetGoal sets whether the document prefers few origin bytes or short time.
func (s *State) SetGoal(goal envdoc.Goal) { s.cfg.Goal = goal }

// SetImportSlots changes how many chunks are transferred at a time between two regions.
func (s *State) SetImportSlots(n int) { s.cfg.ImportSlots = n }

// SetFanout changes to how many regions one region passes a chunk on; it takes
// effect at the next Update.
func (s *State) SetFanout(n int) { s.cfg.Fanout = n }

// SetOriginRegion changes the region in which the origin lies; it takes
// effect at the next Update.
func (s *State) SetOriginRegion(region string) { s.cfg.OriginRegion = region }

// Held reports whether the side holds the chunk, verified.
func (s *State) Held(d chunk.Digest) bool {
	c, ok := s.chunks[d]
	return ok && c.held
}

// Wanted reports whether some wanted version has the chunk, and returns its digest and size.
func (s *State) Wanted(d chunk.Digest) (chunk.Ref, bool) {
	c, ok := s.chunks[d]
	if !ok {
		return chunk.Ref{}, false
	}
	return c.ref, true
}

// Progress is how many chunks of a wanted version this side holds, of how many, and the
// size of the held ones in bytes.
type Progress struct {
	Held  int
	Total int
	Bytes int64
}

// Progress returns how much of the wanted version id this side holds.
func (s *State) Progress(id chunk.Digest) (Progress, bool) {
	for _, v := range s.versions {
		if v.id != id {
			continue
		}
		t := Progress{Total: len(v.chunks)}
		for _, c := range v.chunks {
			if c.held {
				t.Held++
				t.Bytes += c.ref.Size
			}
		}
		return t, true
	}
	return Progress{}, false
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// decide takes every decision that the last event made possible and returns
// the actions collected since the last call.
func (s *State) decide(now time.Time) []Action {
	if s.fetchesDue {
		s.fetchesDue = false
		s.startFetches(now)
	}
	s.sendOffers(now)
	actions := s.actions
	s.actions = nil
	return actions
}
