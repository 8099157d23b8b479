package fair

import "ryelug/core/cell"

const (
	quantileStep       = 0.02 // quantileStep is the step of the quantile estimate, relative to its value.
	longFraction       = 0.1  // longFraction is the fraction of the requests of a class that counts as long.
	allAverageDivisor  = 64   // allAverageDivisor is the inverse weight of the newest sample in the moving average over all requests.
	longAverageDivisor = 16   // longAverageDivisor is the inverse weight of the newest sample in the moving average over long requests.
	tooLongFactor      = 3    // tooLongFactor times the quantile estimate is the cost from which a request is too long to be favoured.
	reserveRatio       = 0.6  // reserveRatio is the admission ratio, relative to all requests, below which engines are reserved for long ones; it is above the target of half because some long requests fail after they were granted.
	favourRatio        = 0.9  // favourRatio is the admission ratio, relative to all requests, below which long requests are favoured.
)

// SizeStats keeps the long requests of one class from being refused far more often than the others. A long prompt costs more
// capacity than its admission gains, so that in overload no long request would be admitted otherwise.
type SizeStats struct {
	long                      cell.Cost // long estimates the 90th percentile of the request cost.
	admittedAll, admittedLong float64   // admittedAll and admittedLong are moving averages of the fraction admitted, of all and of long requests.
	// initialised is true after the first call of Record.
	initialised bool
}

// IsLong reports whether a request belongs to the most expensive tenth of its class.
func (s *SizeStats) IsLong(cost cell.Cost) bool { return s.initialised && cost >= s.long }

// LacksLong reports whether a request belongs to the most expensive tenth of its class and so few of these are
// admitted that engines may be reserved for them.
func (s *SizeStats) LacksLong(cost cell.Cost) bool {
	return s.IsLong(cost) && s.admittedLong < reserveRatio*s.admittedAll
}

// Favours reports whether a long request counts as within its team's share. The very longest don't, as each of them
// takes the capacity of several others.
func (s *SizeStats) Favours(cost cell.Cost) bool {
	return s.IsLong(cost) && cost < tooLongFactor*s.long && s.admittedLong < favourRatio*s.admittedAll
}

// Record records whether a request was admitted, and updates the quantile estimate with its cost.
func (s *SizeStats) Record(cost cell.Cost, admitted bool) {
	part := 0.0
	if admitted {
		part = 1
	}
	if !s.initialised {
		s.initialised, s.long, s.admittedAll, s.admittedLong = true, cost, part, part
		return
	}
	s.admittedAll += (part - s.admittedAll) / allAverageDivisor
	if cost >= s.long {
		s.admittedLong += (part - s.admittedLong) / longAverageDivisor
		s.long += 1 + cell.Cost((1-longFraction)*quantileStep*float64(s.long))
		return
	}
	s.long -= cell.Cost(longFraction * quantileStep * float64(s.long))
}
