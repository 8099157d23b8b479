package timeline

import (
	"container/heap"
	"time"
)

// Event is something that happens at a time.
type Event[T any] struct {
	At    time.Time
	What  T
	order int
}

// Queue holds events by their times, and those of one time in the order in which
// they were added. The zero value is empty.
type Queue[T any] struct {
	events events[T]
	order  int
}

// Add adds an event.
func (q *Queue[T]) Add(at time.Time, what T) {
	q.order++
	heap.Push(&q.events, Event[T]{At: at, What: what, order: q.order})
}

// Added returns the number of events that were added so far.
func (q *Queue[T]) Added() int { return q.order }

// Next removes and returns the first event, or returns false if it is later than until.
func (q *Queue[T]) Next(until time.Time) (Event[T], bool) {
	if len(q.events) == 0 || q.events[0].At.After(until) {
		return Event[T]{}, false
	}
	return heap.Pop(&q.events).(Event[T]), true
}

// Postpone adds an event again at a later time, with its place among the events of that time.
func (q *Queue[T]) Postpone(event Event[T], at time.Time) {
	event.At = at
	heap.Push(&q.events, event)
}

// events is a heap.
type events[T any] []Event[T]

func (e events[T]) Len() int { return len(e) }

func (e events[T]) Less(i, j int) bool {
	return e[i].At.Before(e[j].At) || e[i].At.Equal(e[j].At) && e[i].order < e[j].order
}

func (e events[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is for container/heap.
func (e *events[T]) Push(x any) { *e = append(*e, x.(Event[T])) }

// Pop is for container/heap.
func (e *events[T]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
