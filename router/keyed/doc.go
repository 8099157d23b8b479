// Package keyed stores the records of requests with an Idempotency-Key in the platform, so that a
// request that callers repeat runs at most once, and deletes expired records. Package
// core/idempotency decides each step; this package makes the calls.
package keyed
