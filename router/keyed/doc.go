// Package keyed keeps the records of requests with an Idempotency-Key in the
// platform, by the decisions of core/idempotency, and deletes old ones.
package keyed
