package spread

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/config"
)

// Event is an input of a Machine.
type Event interface{ event() }

// Members replaces the list of hosts.
type Members struct {
	Members []Member
}

// PeerUp tells that a router can be reached over a link.
type PeerUp struct {
	Router cell.RouterID
}

// PeerDown tells that no link to a router is left.
type PeerDown struct {
	Router cell.RouterID
}

// News tells of the generation that a peer has, with its root if this router asked for it.
type News struct {
	From       cell.RouterID
	Generation uint64
	Root       []byte
}

// Ask is a peer's request for parts, or for the root if it names no part.
type Ask struct {
	From   cell.RouterID
	Hashes []string
}

// Part is a part that a peer sent.
type Part struct {
	From cell.RouterID
	Hash string
	Data []byte
}

// RootRead tells what the platform holds as root.
type RootRead struct {
	Root    []byte    // Root is empty if there is none or it is the same.
	Same    bool      // Same is true if it is the root that the platform gave last.
	Watched bool      // Watched is true if a watch told of it.
	Began   time.Time // Began is the time of the ReadRoot that this answers.
}

// RootFailed tells that the platform did not answer a read of the root.
type RootFailed struct{}

// PartRead tells what the platform holds under the name of a part.
type PartRead struct {
	Hash string
	Data []byte
}

// PartFailed tells that a part could not be read from the platform.
type PartFailed struct {
	Hash    string
	Missing bool // Missing is true if the platform has no such part.
}

// Tick lets time pass; it is due at least every 100 ms.
type Tick struct{}

func (*Members) event()    {}
func (*PeerUp) event()     {}
func (*PeerDown) event()   {}
func (*News) event()       {}
func (*Ask) event()        {}
func (*Part) event()       {}
func (*RootRead) event()   {}
func (*RootFailed) event() {}
func (*PartRead) event()   {}
func (*PartFailed) event() {}
func (*Tick) event()       {}

// Action is an output of a Machine.
type Action interface{ action() }

// Watch opens or closes the watch of the platform's root.
type Watch struct {
	On bool
}

// ReadRoot reads the root from the platform; RootRead or RootFailed must follow.
type ReadRoot struct {
	Began time.Time
}

// ReadParts reads parts from the platform; PartRead or PartFailed must follow for each.
type ReadParts struct {
	Hashes []string
}

// SendNews tells a peer which generation this router has.
type SendNews struct {
	To         cell.RouterID
	Generation uint64
	Root       []byte
}

// SendAsk asks a peer for parts, or for its root if it names no part.
type SendAsk struct {
	To     cell.RouterID
	Hashes []string
}

// SendPart sends a part to a peer.
type SendPart struct {
	To   cell.RouterID
	Hash string
	Data []byte
}

// Adopt puts a generation in force.
type Adopt struct {
	Root     config.Root
	Document *config.Document
}

// Report tells of a generation that can't be adopted.
type Report struct {
	Generation uint64
	Err        error
}

func (*Watch) action()     {}
func (*ReadRoot) action()  {}
func (*ReadParts) action() {}
func (*SendNews) action()  {}
func (*SendAsk) action()   {}
func (*SendPart) action()  {}
func (*Adopt) action()     {}
func (*Report) action()    {}
