// Package links holds a router's links to the others: the newest one to each
// router in each direction, and what was told on it last.
package links
