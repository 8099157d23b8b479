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

// ControlLimit is the bytes a second that a node may spend on control at the target.
const ControlLimit = 2048

// Sizes of what routers send each other.
const (
	heartbeatRate  = 2 * 2 * 4 // heartbeats a second with each other router: on two links, in both directions, each 250 ms
	heartbeatBytes = 3         // a length, the growths of stamp and echo, and one that does not fit beside the other
	messageBytes   = 3 + 7     // a length, the growths and the kind, and seven fields of a byte
	messagesEach   = 3         // a demand, a grant and an end
)

// busiestBound is what the dispatcher's node may spend at a rate of requests a second.
func busiestBound(rate float64) float64 {
	return (routers-1)*heartbeatRate*heartbeatBytes + rate*messagesEach*messageBytes
}

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
