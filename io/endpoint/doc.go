// Package endpoint is the HTTP client that sends calls to model engines and other services.
//
// It sends each call at most once, reports how far a failed call got, and keeps a
// small pool of idle connections for each start of an endpoint.
package endpoint
