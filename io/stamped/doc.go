// Package stamped carries typed messages, heartbeats and time stamps on one
// connection to another router.
//
// It belongs to the transport layer and knows neither who is at the other end nor
// what a message means.
package stamped
