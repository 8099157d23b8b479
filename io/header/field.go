package header

import "strings"

// Field is one field of a header.
type Field struct{ Name, Value string }

// hopByHop are the fields that concern one connection only, in lower case, and those of the framing.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "proxy-authenticate": true,
	"proxy-authorization": true, "expect": true,
}

// IsHopByHop tells whether a field concerns one connection only; names that a
// Connection field lists do as well.
func IsHopByHop(name string) bool { return hopByHop[strings.ToLower(name)] }
