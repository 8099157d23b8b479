package fair_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/fair"
)

// A team that asks for far more than its share takes nothing from the other teams, and gets what they leave.
func TestSharesUnderFlood(t *testing.T) {
	is := is.New(t)
	var shares fair.Shares
	shares.SetRate(100)
	shares.Grow(3)
	now := time.Now()
	within := make([]int, 3)
	asks := []int{1, 2, 40} // requests of cost 1 per step of 100 ms: 10, 20 and 400 per second
	const steps = 100
	for range steps {
		now = now.Add(100 * time.Millisecond)
		for team, count := range asks {
			for range count {
				shares.AddDemand(now, team, 1)
				if shares.WithinShare(now, team) {
					shares.Charge(team, cell.Cost(1))
					within[team]++
				}
			}
		}
	}
	is.True(within[0] >= steps-5 && within[1] >= 2*steps-10) // tolerates the steps before the averages settle
	got := float64(within[2]) / (steps / 10)
	is.True(got > 60 && got < 85) // The other teams leave 70 per second.
}

// Guards against a team whose use of spare capacity counts against it for seconds afterwards.
func TestUseOfFreeRoomIsNotOwed(t *testing.T) {
	is := is.New(t)
	var shares fair.Shares
	shares.SetRate(100)
	shares.Grow(2)
	now := time.Now()
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		shares.AddDemand(now, 0, 100)
		shares.Charge(0, 100)
	}
	for range 11 {
		now = now.Add(100 * time.Millisecond)
		shares.AddDemand(now, 1, 100)
		shares.AddDemand(now, 0, 100)
	}
	is.True(!shares.WithinShare(now, 0)) // Its debt is at the limit of one second of its share.
	for range 11 {
		now = now.Add(100 * time.Millisecond)
		shares.AddDemand(now, 1, 100)
		shares.AddDemand(now, 0, 100)
	}
	is.True(shares.WithinShare(now, 0))
}
