package wire

import (
	"net/netip"
	"time"

	"ryelug/core/cell"
)

// Message is what routers tell each other.
type Message interface{ kind() Kind }

// Join lends the sender's stake in a cell, or starts a session without one.
type Join struct {
	Cell         cell.ID
	Session      cell.Session
	Stake        bool
	UncountedFor time.Duration // UncountedFor is the time until now in which no dispatcher counted the stake or granted to the sender.
	Flights      []cell.Flight
	Counters     []cell.TeamCounter
	Cached       []cell.Cached
	Rejected     []cell.RejectedPart
}

// Accepted answers Join.
type Accepted struct {
	Cell    cell.ID
	Session cell.Session
}

// Release ends a session; the sender accepts no further grant of it.
type Release struct {
	Cell    cell.ID
	Session cell.Session
}

// Released answers Release: the stake is counted no more.
type Released struct {
	Cell    cell.ID
	Session cell.Session
}

// Want tells of requests that wait at the sender.
type Want struct {
	Cell    cell.ID
	Session cell.Session
	Demands []cell.Demand
}

// Withdraw tells of attempts that wait no longer.
type Withdraw struct {
	Cell     cell.ID
	Session  cell.Session
	Attempts []cell.AttemptID
}

// Grants permits attempts.
type Grants struct {
	Cell    cell.ID
	Session cell.Session
	Grants  []cell.Grant
}

// Refusals tells of attempts that get no grant.
type Refusals struct {
	Cell     cell.ID
	Session  cell.Session
	Refusals []cell.Refusal
}

// Progress tells the cost so far of running attempts.
type Progress struct {
	Cell     cell.ID
	Session  cell.Session
	Progress []cell.Progress
}

// Ends tells of attempts that have ended, under any session of the sender.
type Ends struct {
	Cell cell.ID
	Ends []cell.End
}

// Counters tells the virtual counters of a cell's teams.
type Counters struct {
	Cell     cell.ID
	Counters []cell.TeamCounter
}

// Unserved tells what callers asked the sender for that it did not ask the dispatcher for.
type Unserved struct {
	Cell    cell.ID
	Session cell.Session
	Teams   []cell.Unserved
}

// Behind tells the teams that got too little of what they are owed; it replaces what the sender told before.
type Behind struct {
	Cell    cell.ID
	Session cell.Session
	Teams   []cell.TeamID
}

// Rejected tells the prompt parts that crash engines; it replaces what the sender told before.
type Rejected struct {
	Cell    cell.ID
	Session cell.Session
	Parts   []cell.RejectedPart
}

// Leaving tells that the sender shuts down gracefully.
type Leaving struct{}

// Departed tells that the sender's last request has ended: it has nothing in
// flight, lends no stake and asks for nothing any more.
type Departed struct{}

// ConfigNews tells of the newest configuration that the sender has adopted.
type ConfigNews struct {
	Generation uint64
	Root       []byte
}

// ConfigAsk asks for parts of a configuration by their hashes.
type ConfigAsk struct {
	Hashes []string
}

// ConfigPart answers ConfigAsk with one part.
type ConfigPart struct {
	Hash string
	Data []byte
}

// Members tells the hosts that the sender has listed or is linked to.
type Members struct {
	Hosts []cell.HostID
}

// Waiting tells the hosts whose votes the sender does not count.
type Waiting struct {
	Hosts []cell.HostID
}

// Host is a host as the platform lists it.
type Host struct {
	Host       cell.HostID
	Address    netip.AddrPort // Address is where its router listens for its peers.
	DataCentre string
	Leaving    bool
	Processor  uint64 // Processor is its part of the host's processor, in thousandths of a core; zero if not known.
}

// Listed tells that the sender has just read the platform's list of hosts. It
// names the hosts if they differ from what it told last on this link.
type Listed struct {
	Changed bool
	Hosts   []Host
}

// Shelf names a sort of objects of the platform and the revision up to which a router knows them.
type Shelf struct {
	Kind     string
	Era      uint64 // Era counts how often the platform's store came back from a copy; revisions of different eras can't be compared.
	Revision uint64
}

// ObjectsAsk asks a router for what it knows of the platform's objects beyond the given revisions.
type ObjectsAsk struct {
	Number  uint64 // Number is that of the question, for its answers.
	Shelves []Shelf
}

// ObjectsTold answers ObjectsAsk, a message for each kind.
type ObjectsTold struct {
	Shelf
	Number  uint64        // Number is that of the question.
	Age     time.Duration // Age is how long ago the sender knew that this was the newest state.
	Lost    bool          // Lost tells that the sender's calls to the platform fail.
	Since   uint64        // Since is the revision, of the same era, that was asked with; zero if the answer names all objects.
	Names   []string      // Names are those of all objects; none unless something has changed.
	Objects []Object      // Objects are those that changed after Since.
}

// Object is one object of the platform.
type Object struct {
	Name     string
	Revision uint64
	Value    []byte
}

// Kind numbers a type of message on the wire; numbers are never reused.
type Kind uint8

// Kinds of frames. KindHeartbeat and KindCalm have no Message; after a calm frame the next one may come later.
const (
	KindHeartbeat Kind = iota
	KindJoin
	KindAccepted
	KindRelease
	KindReleased
	KindWant
	KindWithdraw
	KindGrants
	KindRefusals
	KindProgress
	KindEnds
	KindCounters
	KindLeaving
	KindConfigNews
	KindConfigAsk
	KindConfigPart
	KindMembers
	KindDeparted
	KindListed
	KindObjectsAsk
	KindObjectsTold
	KindWaiting
	KindCalm
	KindUnserved
	KindBehind
	KindRejected

	KindCount // KindCount is the number of kinds.
)

var kindNames = [KindCount]string{
	"heartbeat", "join", "accepted", "release", "released", "want", "withdraw", "grants",
	"refusals", "progress", "ends", "counters", "leaving", "config_news", "config_ask", "config_part", "members",
	"departed", "listed", "objects_ask", "objects_told",
	"waiting", "calm", "unserved", "behind", "rejected",
}

// Forms are the high bits of a kind on the wire; each leaves out what the other end can tell.
const (
	formSame Kind = 1 << 7 // formSame: the cell and session are those of the message before.
	formOne  Kind = 1 << 6 // formOne: the list has one item and no length.
	forms         = formSame | formOne
)

// Base returns the kind without its form.
func (k Kind) Base() Kind { return k &^ forms }

// String returns the kind's name in counters.
func (k Kind) String() string {
	if k.Base() >= KindCount {
		return "unknown"
	}
	return kindNames[k.Base()]
}

func (*Join) kind() Kind       { return KindJoin }
func (*Accepted) kind() Kind   { return KindAccepted }
func (*Release) kind() Kind    { return KindRelease }
func (*Released) kind() Kind   { return KindReleased }
func (*Want) kind() Kind       { return KindWant }
func (*Withdraw) kind() Kind   { return KindWithdraw }
func (*Grants) kind() Kind     { return KindGrants }
func (*Refusals) kind() Kind   { return KindRefusals }
func (*Progress) kind() Kind   { return KindProgress }
func (*Ends) kind() Kind       { return KindEnds }
func (*Counters) kind() Kind   { return KindCounters }
func (*Leaving) kind() Kind    { return KindLeaving }
func (*Unserved) kind() Kind   { return KindUnserved }
func (*Behind) kind() Kind     { return KindBehind }
func (*Rejected) kind() Kind   { return KindRejected }
func (*Departed) kind() Kind   { return KindDeparted }
func (*Listed) kind() Kind     { return KindListed }
func (*ConfigNews) kind() Kind { return KindConfigNews }
func (*ConfigAsk) kind() Kind  { return KindConfigAsk }
func (*ConfigPart) kind() Kind { return KindConfigPart }
func (*Members) kind() Kind    { return KindMembers }
func (*Waiting) kind() Kind    { return KindWaiting }

func (*ObjectsAsk) kind() Kind  { return KindObjectsAsk }
func (*ObjectsTold) kind() Kind { return KindObjectsTold }
