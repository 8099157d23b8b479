package coordination

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/member"
	"ryelug/io/endpoint"
	"ryelug/io/wire"
	"ryelug/router/directory"
	"ryelug/router/lending"
)

// command is a request to the coordination goroutine from another goroutine.
type command interface{ command() }

// ask requests a grant for an attempt.
type ask struct{ lending.Ask }

// withdraw cancels an ask whose request no longer waits for the decision.
type withdraw struct{ lending.Ask }

// finish reports that a granted attempt has ended.
type finish struct {
	cell cell.ID
	end  cell.End
}

// firstToken reports that a granted attempt has received its first token.
type firstToken struct {
	cell    cell.ID
	attempt cell.AttemptID
	latency time.Duration     // latency is the time from the send to the first token.
	load    cell.EndpointLoad // load is what the endpoint reported with it; zero if nothing.
}

// adopt puts a generation of the configuration into force.
type adopt struct{ directory *directory.Directory }

// hostList delivers the platform's list of hosts after a read, or the error of the read.
type hostList struct {
	members []member.Member
	err     error
}

// loadReport delivers the load report of an endpoint, or the error of the poll.
type loadReport struct {
	cell     cell.ID
	endpoint cell.EndpointID
	load     endpoint.Load
	sampled  time.Time // sampled is the earliest time at which the endpoint can have made the report.
	err      error
}

// cacheContents delivers the prompt parts that an engine has in its cache, or the error of asking for them.
type cacheContents struct {
	cell     cell.ID
	endpoint cell.EndpointID
	parts    []cell.Part
	err      error
}

// sendMessage sends a message to the given router, or to every linked router if none is given.
type sendMessage struct {
	to      cell.RouterID
	message wire.Message
}

// depart ends the dispatcher role of this router and announces that it is leaving.
type depart struct{}

// farewell tells all routers that this one has neither requests in flight nor a stake lent.
type farewell struct{}

// inspect requests a View; reply must have room for it.
type inspect struct{ reply chan View }

func (ask) command()           {}
func (withdraw) command()      {}
func (finish) command()        {}
func (firstToken) command()    {}
func (adopt) command()         {}
func (hostList) command()      {}
func (loadReport) command()    {}
func (cacheContents) command() {}
func (sendMessage) command()   {}
func (depart) command()        {}
func (farewell) command()      {}
func (inspect) command()       {}
