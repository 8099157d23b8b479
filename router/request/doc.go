// Package request runs requests: it joins the decisions of core/entry with
// grants, endpoints, callers and the records of idempotency keys.
package request
