package queue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/queue"
)

// Callers that are all told the same time would be refused again together.
func TestCallersReturnOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	var a queue.Appointments
	now := time.Now()
	last := time.Duration(0)
	for range 20 {
		after := a.Next(now, 0, 30, 600) // 30 calls wait, which takes 50 ms
		is.True(after >= 100*time.Millisecond)
		is.True(after > last)
		last = after
	}
	is.True(last < 200*time.Millisecond) // half of 600 calls a second is theirs while no new ones come
	for range 2000 {
		is.True(a.Next(now, 0, 30, 600) <= 3*time.Second) // the longest time that a caller is told
	}
}

// Only a call of the team that was refused, at the time that its caller was told, comes before others.
func TestOnlyACallerThatReturnsAsToldIsPreferred(t *testing.T) {
	is := is.New(t)
	var a queue.Appointments
	now := time.Now()
	at := now.Add(a.Next(now, 3, 0, 600))
	is.True(!a.Returns(at.Add(-time.Millisecond), 3))
	is.True(!a.Returns(at.Add(time.Millisecond), 4))
	is.True(a.Returns(at.Add(2*time.Millisecond), 3))
	is.True(a.Returns(at.Add(3*time.Millisecond), 3)) // a new call may have come just before
	is.True(!a.Returns(at.Add(4*time.Millisecond), 3))

	at = now.Add(a.Next(at, 3, 0, 600)).Add(time.Second)
	is.True(!a.Returns(at, 3)) // far too late
}
