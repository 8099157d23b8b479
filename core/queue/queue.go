package queue

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/slot"
)

// Request is a request that waits for a grant.
type Request struct {
	// Entry is the index of the router that received the request from its caller.
	Entry         int32
	Attempt       cell.AttemptID
	Team          int32     // Team is the index of the team that the request is charged to.
	Avoid         int32     // Avoid is the index of an endpoint at which the request has just failed; negative for none.
	EstimatedCost cell.Cost // EstimatedCost is the caller's estimate of the cost, in cost units; zero if there is none.
	Since         time.Time // Since is the time at which the request began to wait.
	Moves         uint8     // Moves is the number of times that another cell of the pool passed the request on.

	IsReturn bool        // IsReturn is set if the caller counts as one that was refused and returns as told.
	Class    string      // Class groups requests of one kind, whose sizes are compared with each other.
	Prompt   cell.Prompt // Prompt describes the request's prompt; empty where it is not needed.
	Deadline time.Time   // Deadline is the deadline of the first token; zero if there is none.
}

// Queue holds all waiting requests of a cell, in the order of arrival and per team. The zero value has no teams;
// Grow adds them.
type Queue struct {
	requests      slot.Slab[Request]
	byTeam        slot.Links
	byArrival     slot.Links
	arrivals      slot.List
	teams         []team
	grantInterval grantInterval
}

// team holds the waiting requests of one team and the rate of its grants.
type team struct {
	list          slot.List
	grantInterval grantInterval
}

// Grow adds teams until there are at least n, with the indexes 0 to n-1.
func (q *Queue) Grow(n int) {
	for len(q.teams) < n {
		q.teams = append(q.teams, team{})
	}
}

// Push appends a request and returns its slot, which is valid until Remove. The request's team must exist.
func (q *Queue) Push(request Request) int32 {
	index := q.requests.Put(request)
	q.byArrival.Push(&q.arrivals, index)
	q.byTeam.Push(&q.teams[request.Team].list, index)
	return index
}

// Remove removes the request in a slot and frees the slot.
func (q *Queue) Remove(index int32) {
	q.byArrival.Remove(&q.arrivals, index)
	q.byTeam.Remove(&q.teams[q.At(index).Team].list, index)
	q.requests.Free(index)
}

// At returns the request in a slot; the pointer is valid until the next Push.
func (q *Queue) At(index int32) *Request { return q.requests.At(index) }

// First returns the slot of the request that waits longest; slot.None if none waits.
func (q *Queue) First() int32 { return q.arrivals.Head }

// Next returns the slot of the request that arrived next after the one in this slot; slot.None if there is none.
func (q *Queue) Next(index int32) int32 { return q.byArrival.Next(index) }

// FirstOf returns the slot of the team's request that waits longest; slot.None if none waits.
func (q *Queue) FirstOf(team int32) int32 { return q.teams[team].list.Head }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.arrivals.Length }

// LenOf returns the number of the team's waiting requests.
func (q *Queue) LenOf(team int32) int { return q.teams[team].list.Length }

// Last returns the slot of the request that arrived last; slot.None if none waits.
func (q *Queue) Last() int32 { return q.arrivals.Tail }

// Previous returns the slot of the request that arrived just before the one in this slot; slot.None if there is none.
func (q *Queue) Previous(index int32) int32 { return q.byArrival.Previous(index) }

// NextOf returns the slot of the same team's request that arrived next after the one in this slot; slot.None if
// there is none.
func (q *Queue) NextOf(index int32) int32 { return q.byTeam.Next(index) }
