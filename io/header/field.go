package header

import "strings"

// Field is one field of an HTTP header; a name that occurs several times has several Fields.
type Field struct{ Name, Value string }

// hopByHop holds the lower-case names of the fields that apply to one connection only or describe the message framing.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "proxy-authenticate": true,
	"proxy-authorization": true, "expect": true,
}

// IsHopByHop reports whether the field of this name, in any case, applies to one connection only and must not be
// forwarded. The fields that a Connection field names are hop-by-hop as well, but it does not know them.
func IsHopByHop(name string) bool { return hopByHop[strings.ToLower(name)] }
