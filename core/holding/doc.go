// Package holding decides how many bytes a process holds for its peers: connections, bodies, responses and events, which
// clients outside anyone's control leave unfinished or unread by the hundred.
package holding
