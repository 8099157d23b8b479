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

// command is what another duty asks of the coordination duty.
type command interface{ command() }

// ask asks for a grant.
type ask struct{ lending.Ask }

// withdraw tells that an ask is given up.
type withdraw struct{ lending.Ask }

// finish tells that a granted attempt has ended.
type finish struct {
	cell cell.ID
	end  cell.End
}

// begun tells of the first token of a granted attempt.
type begun struct {
	cell    cell.ID
	attempt cell.AttemptID
	first   time.Duration
}

// adopt puts a generation of the configuration in force.
type adopt struct{ directory *directory.Directory }

// listed tells that this router has read the platform's list of hosts; err tells that it could not.
type listed struct {
	members []member.Member
	err     error
}

// measured tells of an endpoint's report, or that there was none.
type measured struct {
	cell     cell.ID
	endpoint cell.EndpointID
	load     endpoint.Load
	sampled  time.Time
	err      error
}

// holds tells which parts an engine keeps, or that this is not known.
type holds struct {
	cell     cell.ID
	endpoint cell.EndpointID
	parts    []cell.Part
	err      error
}

// tell sends a message to a router, or to all linked ones if to is empty.
type tell struct {
	to      cell.RouterID
	message wire.Message
}

// depart gives the dispatcher role away.
type depart struct{}

// farewell tells all routers that nothing of this one is left.
type farewell struct{}

// inspect asks for a view of the coordination state.
type inspect struct{ reply chan View }

func (ask) command()      {}
func (withdraw) command() {}
func (finish) command()   {}
func (begun) command()    {}
func (adopt) command()    {}
func (listed) command()   {}
func (measured) command() {}
func (holds) command()    {}
func (tell) command()     {}
func (depart) command()   {}
func (farewell) command() {}
func (inspect) command()  {}
