// Package request runs each caller's request from its arrival to its final answer. It asks for a
// grant, which allows one attempt at one endpoint, sends the request, forwards the answer or
// stream, and retries after failures. For requests with an Idempotency-Key it also records the
// outcome. Package core/entry decides each step; this package performs it.
package request
