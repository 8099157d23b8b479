// Package dispatching implements a router's dispatcher role: it decides for other
// routers which of their waiting requests may go to which endpoint.
//
// A cell is a pool of endpoints, or a slice of one. An entry is a router in its
// role of accepting requests from callers. For each cell, an entry joins one
// dispatcher for the time of a session, asks it for grants and lends it its
// stake, which is the vote of the entry's host; the more stakes a dispatcher
// holds, the larger the part of an endpoint's limit that it may use. The
// decisions are made by a dispatch.Dispatcher or admission.Dispatcher for each
// cell; this package connects these with the messages to and from entries.
package dispatching
