// Package handover carries connections of callers from one router to another, many of them over one link.
//
// A router that is flooded pays for each caller's connection one read of the request and one write an event; what it gets
// from the other router comes in batches. It belongs to the transport layer and knows nothing of HTTP.
package handover
