// Package links keeps track of a router's links to other routers: the newest link
// to each router in each direction, and the host list last exchanged on each link.
package links
