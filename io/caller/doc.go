// Package caller is the HTTP server that callers speak to.
//
// It reads requests within limits of size and time, hands them to a Handler, and
// writes whole answers, streams of server-sent events and refusals.
package caller
