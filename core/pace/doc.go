// Package pace keeps how fast an endpoint is at the moment, from what the endpoint reports with its answers and from the
// measured times of its answers.
//
// It answers a load in which endpoints share their machines with others: from time to time a part of them takes 2.5 times
// as long for a few hundred milliseconds, and some are permanently slower. The state is a few numbers for each endpoint,
// whatever the number of routers. The package belongs to the state layer of core: no I/O, and the caller passes the time.
package pace
