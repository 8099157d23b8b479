package queue

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/slot"
)

// Request is one request that waits.
type Request struct {
	Entry   int32
	Attempt cell.AttemptID
	Team    int32
	Avoid   int32     // Avoid is an endpoint that has just failed the request; negative for none.
	Hint    cell.Cost // Hint is the caller's estimate; zero when there is none.
	Since   time.Time
	Moves   uint8 // Moves is how often another cell of the pool has passed the request on.

	Class  string // Class names requests of one kind.
	Prompt cell.Prompt
	Due    time.Time // Due is when the first token is late; zero when it never is.
}

// Queue is all requests that wait. The zero value has no teams.
type Queue struct {
	requests  slot.Slab[Request]
	byTeam    slot.Links
	byArrival slot.Links
	arrivals  slot.List
	teams     []team
	pace      pace
}

type team struct {
	list slot.List
	pace pace
}

// Grow makes room for teams 0 to n-1.
func (q *Queue) Grow(n int) {
	for len(q.teams) < n {
		q.teams = append(q.teams, team{})
	}
}

// Push adds a request and returns its slot.
func (q *Queue) Push(request Request) int32 {
	place := q.requests.Put(request)
	q.byArrival.Push(&q.arrivals, place)
	q.byTeam.Push(&q.teams[request.Team].list, place)
	return place
}

// Remove takes a request out.
func (q *Queue) Remove(place int32) {
	q.byArrival.Remove(&q.arrivals, place)
	q.byTeam.Remove(&q.teams[q.At(place).Team].list, place)
	q.requests.Free(place)
}

// At returns the request in a slot; the pointer holds until the next Push.
func (q *Queue) At(place int32) *Request { return q.requests.At(place) }

// First returns the slot of the request that waits longest, slot.None if none waits.
func (q *Queue) First() int32 { return q.arrivals.Head }

// Next returns the slot of the request that came next after one, slot.None if none did.
func (q *Queue) Next(place int32) int32 { return q.byArrival.Next(place) }

// FirstOf returns the slot of a team's request that waits longest, slot.None if none waits.
func (q *Queue) FirstOf(team int32) int32 { return q.teams[team].list.Head }

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return q.arrivals.Length }

// LenOf returns the number of a team's requests that wait.
func (q *Queue) LenOf(team int32) int { return q.teams[team].list.Length }

// Last returns the slot of the request that came last, slot.None if none waits.
func (q *Queue) Last() int32 { return q.arrivals.Tail }

// Previous returns the slot of the request that came just before one, slot.None if none did.
func (q *Queue) Previous(place int32) int32 { return q.byArrival.Previous(place) }

// NextOf returns the slot of the request of the same team that came next after one, slot.None if none did.
func (q *Queue) NextOf(place int32) int32 { return q.byTeam.Next(place) }
