package spread

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/config"
)

// Event is an input of a Machine, passed to Step.
type Event interface{ event() }

// Members replaces the list of hosts that are not leaving.
type Members struct {
	Members []Member
}

// PeerUp reports that a router can be reached over a link.
type PeerUp struct {
	Router cell.RouterID
}

// PeerDown reports that the last link to a router is lost.
type PeerDown struct {
	Router cell.RouterID
}

// Announcement is a peer's announcement of its generation. It carries the encoded root if this router asked for it.
type Announcement struct {
	From       cell.RouterID // From is the peer.
	Generation uint64        // Generation is the one that the peer has in force.
	Root       []byte        // Root is the encoded root; empty in a mere announcement.
}

// PartRequest is a peer's request for parts, or for the root if it lists no hash.
type PartRequest struct {
	From   cell.RouterID
	Hashes []string
}

// Part is a part of a configuration that a peer sent.
type Part struct {
	From cell.RouterID
	Hash string
	Data []byte
}

// RootRead is the platform's answer to a read of the root, or what a watch has delivered.
type RootRead struct {
	Root    []byte    // Root is the encoded root; empty if the platform has none or if Same is true.
	Same    bool      // Same is true if the root has not changed since the last answer.
	Watched bool      // Watched is true if the root came from a watch and not from a read.
	Began   time.Time // Began is the time of the ReadRoot action that this answers; zero if Watched is true.
}

// RootFailed reports that a read of the root got no answer from the platform.
type RootFailed struct{}

// PartRead is what the platform returned for the hash of a part; the data may be wrong.
type PartRead struct {
	Hash string
	Data []byte
}

// PartFailed reports that a part could not be read from the platform.
type PartFailed struct {
	Hash    string // Hash is the hash of the part.
	Missing bool   // Missing is true if the platform answered that it has no such part.
}

// Tick reports that time has passed; it is due at least every 100 ms.
type Tick struct{}

func (*Members) event()      {}
func (*PeerUp) event()       {}
func (*PeerDown) event()     {}
func (*Announcement) event() {}
func (*PartRequest) event()  {}
func (*Part) event()         {}
func (*RootRead) event()     {}
func (*RootFailed) event()   {}
func (*PartRead) event()     {}
func (*PartFailed) event()   {}
func (*Tick) event()         {}

// Action is an output of a Machine, to be performed by its caller.
type Action interface{ action() }

// Watch starts or stops watching the root on the platform.
type Watch struct {
	On bool
}

// ReadRoot reads the root from the platform. RootRead or RootFailed must follow, with the same Began in RootRead.
type ReadRoot struct {
	Began time.Time
}

// ReadParts reads parts from the platform. PartRead or PartFailed must follow for each hash.
type ReadParts struct {
	Hashes []string
}

// SendAnnouncement announces this router's generation to a peer, with the encoded root if the peer asked for it.
type SendAnnouncement struct {
	To         cell.RouterID
	Generation uint64
	Root       []byte
}

// SendPartRequest asks a peer for parts, or for its root if it lists no hash.
type SendPartRequest struct {
	To     cell.RouterID
	Hashes []string
}

// SendPart sends a part of the configuration in force to a peer.
type SendPart struct {
	To   cell.RouterID
	Hash string
	Data []byte
}

// Adopt puts a configuration in force.
type Adopt struct {
	Root     config.Root
	Document *config.Document
}

// Report reports a generation that can't be adopted and why.
type Report struct {
	Generation uint64
	Err        error
}

func (*Watch) action()            {}
func (*ReadRoot) action()         {}
func (*ReadParts) action()        {}
func (*SendAnnouncement) action() {}
func (*SendPartRequest) action()  {}
func (*SendPart) action()         {}
func (*Adopt) action()            {}
func (*Report) action()           {}
