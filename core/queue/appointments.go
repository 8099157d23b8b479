package queue

import "time"

const (
	minReturnDelay    = 100 * time.Millisecond // minReturnDelay is the shortest time after which a caller is told to return; shorter ones cost more than they gain.
	returnWindow      = 25 * time.Millisecond  // returnWindow is how long after the time that it was told a caller counts as one that returns.
	returnsPerTime    = 2                      // returnsPerTime is how many calls of the team may use one appointment: a new call may arrive just before the one that returns.
	maxAppointments   = 1024                   // maxAppointments is the most appointments that are kept; those beyond it are told a time, but not preferred.
	minSpareFraction  = 0.1                    // minSpareFraction is the fraction of the rate of calls that is spare at the least, since new calls may end at any time.
	demandTimeConst   = time.Second            // demandTimeConst is the time constant of the average rate of new calls.
	maxSpareFraction  = 0.5                    // maxSpareFraction is the largest fraction of the rate of calls that returning callers get, as the demand of a calm second may rise.
	fullDemandMinimum = time.Millisecond       // fullDemandMinimum is the shortest time between two updates of the average.
)

// Appointments are the times at which refused callers were told to return, in ascending order. A caller returns without a name,
// so that a call of its team that arrives shortly after an appointment counts as the one that returns.
//
// It answers the load of a small service near its capacity, where callers that return at a time without room for them are
// refused again.
type Appointments struct {
	list       []appointment
	last       time.Time // last is the latest time that a caller was told.
	demandRate float64   // demandRate is the average number of new calls per second.
	demandAt   time.Time // demandAt is the time of the last update of demandRate.
}

type appointment struct {
	at   time.Time
	team int32
	used int
}

// Asked records a new call.
func (a *Appointments) Asked(now time.Time) {
	a.decay(now)
	a.demandRate += 1 / demandTimeConst.Seconds()
}

func (a *Appointments) decay(now time.Time) {
	if passed := now.Sub(a.demandAt); passed >= fullDemandMinimum {
		a.demandRate /= 1 + passed.Seconds()/demandTimeConst.Seconds()
		a.demandAt = now
	}
}

// Next returns the time after which the team's caller that is refused now should return: when the calls that wait have been
// answered and the callers that were told before have returned, at the rate that new calls leave of the rate of all.
func (a *Appointments) Next(now time.Time, team int32, waiting int, rate float64) time.Duration {
	a.decay(now)
	rate = max(minRate, rate)
	spare := min(max(rate-a.demandRate, minSpareFraction*rate), maxSpareFraction*rate)
	a.last = a.last.Add(time.Duration(float64(time.Second) / spare))
	drained := time.Duration(float64(waiting) / rate * float64(time.Second))
	if earliest := now.Add(max(minReturnDelay, drained)); a.last.Before(earliest) {
		a.last = earliest
	}
	if a.last.Sub(now) > maxRetryDelay {
		a.last = now.Add(maxRetryDelay) // Later callers get the same time: none is told to wait longer.
	}
	a.drop(now)
	if len(a.list) < maxAppointments {
		a.list = append(a.list, appointment{at: a.last, team: team})
	}
	return a.last.Sub(now)
}

// drop removes the appointments that have passed.
func (a *Appointments) drop(now time.Time) {
	passed := 0
	for passed < len(a.list) && now.Sub(a.list[passed].at) > returnWindow {
		passed++
	}
	if passed > 0 {
		a.list = append(a.list[:0], a.list[passed:]...)
	}
}

// Returns reports whether a call of the team that arrives now counts as one that returns, and uses the appointment.
func (a *Appointments) Returns(now time.Time, team int32) bool {
	a.drop(now)
	for i := range a.list {
		one := &a.list[i]
		if one.at.After(now) {
			return false
		}
		if one.team == team && one.used < returnsPerTime {
			one.used++
			return true
		}
	}
	return false
}
