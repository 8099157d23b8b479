// Package caller implements the HTTP server that receives the requests of callers.
//
// It limits the size of each request and the time that it may take to arrive, passes requests to a Handler, and writes
// complete answers, streams of server-sent events and refusals. It can also relay a new connection to another router.
package caller
