package gossip

// Action is something that a Node wants done.
type Action interface{ action() }

// SendMarks, SendPull and SendDelta send a message to a peer.
type (
	SendMarks struct {
		Peer  PeerID
		Marks Marks
	}
	SendPull struct {
		Peer PeerID
		Pull Pull
	}
	SendDelta struct {
		Peer  PeerID
		Delta Delta
	}
)

// Adopt puts a state in force.
type Adopt struct {
	Topic Topic
	State State
}

// Ignore tells of a state that was read and is not above the held one.
type Ignore struct {
	Topic Topic
	Mark  Mark
	Held  Mark
}

// Refuse tells of a state or a delta that is not sound. Peer is 0 when it
// did not come from a peer.
type Refuse struct {
	Topic Topic
	Peer  PeerID
	Mark  Mark
	Err   error
}

// Conflict tells of a peer that holds the same version with other content.
type Conflict struct {
	Topic Topic
	Peer  PeerID
	Mark  Mark
}

func (SendMarks) action() {}
func (SendPull) action()  {}
func (SendDelta) action() {}
func (Adopt) action()     {}
func (Ignore) action()    {}
func (Refuse) action()    {}
func (Conflict) action()  {}
