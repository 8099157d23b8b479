// Package endpoint is the HTTP client that speaks to model engines and plain services.
//
// It sends each call exactly once, tells how far a failed call got, and keeps a
// small pool of connections for each start of an endpoint.
package endpoint
