// Package overlay chooses the routers to which a router keeps links, so that their number does not grow with the fleet.
//
// It belongs to the coordination layer and does no I/O: it takes the list of hosts, what became of links and the time, and
// returns hosts. The load that it answers is that of a fleet of hundreds of small hosts, in which links between all pairs
// take more memory and processor time than the requests.
package overlay
