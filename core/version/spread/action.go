package spread

import "hawthornferry/core/version/chunk"

// Action is one thing that the caller of a State must do. Actions must be
// carried out in the order in which they were returned.
type Action interface{ isAction() }

// Via is the route by which a chunk reaches a side.
type Via string

// The routes: from the origin, from a side of another region, and from a side of the same
// region.
const (
	ViaOrigin Via = "origin"
	ViaImport Via = "import"
	ViaTrade  Via = "trade"
)

// Fetch starts the transfer of a chunk. Peer is the side to request it from, empty for
// the origin. Share is the fraction of the region link that an import may use.
type Fetch struct {
	Chunk  chunk.Ref
	Via    Via
	Peer   string
	Share  float64
	Reason string
}

// StopTransfer ends a transfer that was started: it timed out, it need not wait for the
// peer to get the chunk, or the chunk is no longer wanted.
type StopTransfer struct {
	Chunk  chunk.Digest
	Peer   string
	Reason string
}

// Offer tells a peer that it may request one chunk.
type Offer struct{ Peer string }

// RefuseOffer refuses a peer's offer.
type RefuseOffer struct{ Peer string }

// AcceptOffers tells a peer whose offer was refused that it may offer again.
type AcceptOffers struct{ Peer string }

// Announce tells a peer about chunks of one version: Have are held by this side,
// HeldInRegion by some side of the region, and Retrying are those that some side
// keeps trying to fetch for the region. Manifest is the ID of the version.
type Announce struct {
	Peer         string
	Manifest     chunk.Digest
	Have         []int
	HeldInRegion []int
	Retrying     []int
}

// SendChunkSets sends a peer the complete chunk sets of one version; Manifest is the
// version's ID.
type SendChunkSets struct {
	Peer         string
	Manifest     chunk.Digest
	Have         Bits
	HeldInRegion Bits
}

// ReportDown tells a peer about sides of the region that do not run.
type ReportDown struct {
	Peer  string
	Sides []string
}

// Connect opens a connection to a neighbour.
type Connect struct{ Peer string }

// Disconnect closes the connection to a peer; it is reopened when needed.
type Disconnect struct{ Peer string }

// DiscardChunk deletes a chunk that no wanted version has from the staging area.
type DiscardChunk struct{ Chunk chunk.Digest }

func (Fetch) isAction()         {}
func (StopTransfer) isAction()  {}
func (Offer) isAction()         {}
func (RefuseOffer) isAction()   {}
func (AcceptOffers) isAction()  {}
func (Announce) isAction()      {}
func (ReportDown) isAction()    {}
func (SendChunkSets) isAction() {}
func (Connect) isAction()       {}
func (Disconnect) isAction()    {}
func (DiscardChunk) isAction()  {}
