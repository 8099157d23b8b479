// Package freezes has tests alone: a whole fleet under load whose routers freeze
// past every timeout and wake.
package freezes
