// Command ryelug is the router fleet: the router itself, the operators'
// commands, and stand-ins of the platform and the endpoints for trials.
package main
