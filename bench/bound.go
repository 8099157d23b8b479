package bench

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/fair"
)

const (
	// turnaround is the number of one-way delays for which a slot stands idle
	// between two requests: last token to the entry, end to the dispatcher, grant
	// to the entry, connection and load report of a new connection, and the request.
	turnaround = 1 + 1 + 1 + 2 + 2 + 1

	// wakeUp is the longest time that a duty takes to act on what has come.
	wakeUp = time.Millisecond

	// configurationLimit is the time in which an accepted configuration is in force everywhere.
	configurationLimit = 3 * time.Second
)

// requestTime is the time for which a request holds a slot.
const requestTime = FirstTokenTime + (tokens-1)*TokenGap

// gapBound is the largest gap between two small teams with no hand-over.
func gapBound() float64 {
	return fair.GapBound(fair.Bound{
		LargestCost: cell.Cost(largestCost),
		Slots:       engines * warmLimit,
		ShareA:      smallShare,
		ShareB:      smallShare,
		LeastShare:  smallShare,
	})
}

// utilisationBound is the part of the time in which a slot works when work always waits.
func utilisationBound(d Deployment) float64 {
	idle := turnaround*d.Delay + wakeUp
	return 1 - idle.Seconds()/(idle+requestTime).Seconds()
}

// fullUseBound is the time from the order to return until cold engines are warm
// and full: the order spreads, the cold limit serves the requests that warm an
// engine, the last of them ends, and the warm limit fills.
func fullUseBound() time.Duration {
	rounds := (warmUp + coldLimit - 1) / coldLimit
	return configurationLimit + reportLag + time.Duration(rounds+1)*requestTime
}
