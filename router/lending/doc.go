// Package lending implements a router's entry role: it obtains permission from
// dispatchers to send callers' requests to endpoints.
//
// An entry is a router in its role of accepting requests from callers. A cell is
// a pool of endpoints, or a slice of one. For each cell, an entry has one other
// router, or itself, as dispatcher: the dispatcher decides which waiting request
// goes to which endpoint, and sends a grant for each attempt. An entry holds one
// stake per cell, which is the vote of its host, and lends it to its dispatcher
// for the time of a session; the more stakes a dispatcher holds, the larger the
// part of an endpoint's limit that it may use.
// The state machine of this protocol is lend.Lender of core/lend, one for each
// cell; this package connects it with the requests that wait for grants and
// with the messages to and from dispatchers.
package lending
