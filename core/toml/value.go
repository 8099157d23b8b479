package toml

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	maxTextLength = 200 // maxTextLength is the maximum length of a printable text, in bytes.
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	textPattern = regexp.MustCompile(`^[!-~]+$`)
)

// Value is a parsed TOML value. Each method stores the value in the variable that to points to
// and reports whether the value is allowed; the variable may be changed even if it is not.
type Value struct {
	node *unstable.Node
}

// Text stores a string and reports whether the value is one.
func (v Value) Text(to *string) bool {
	*to = string(v.node.Data)
	return v.node.Kind == unstable.String
}

// Name stores a string and reports whether it has 1 to 63 letters, digits, dots, hyphens and underscores, a letter or
// digit first.
func (v Value) Name(to *string) bool {
	return v.Text(to) && namePattern.MatchString(*to)
}

// Printable stores a string and reports whether it has 1 to 200 printable ASCII characters and no spaces.
func (v Value) Printable(to *string) bool {
	return v.Text(to) && len(*to) <= maxTextLength && textPattern.MatchString(*to)
}

// Integer stores an integer and reports whether it is in the range from low to high, both included.
func (v Value) Integer(to *int64, low, high int64) bool {
	if v.node.Kind != unstable.Integer {
		return false
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(string(v.node.Data), "_", ""), 0, 64)
	*to = n
	return err == nil && n >= low && n <= high
}

// Count stores an integer and reports whether it is in the range from 1 to high, both included.
func (v Value) Count(to *int, high int64) bool {
	var n int64
	ok := v.Integer(&n, 1, high)
	*to = int(n)
	return ok
}

// Flag stores a boolean and reports whether the value is one.
func (v Value) Flag(to *bool) bool {
	*to = string(v.node.Data) == "true"
	return v.node.Kind == unstable.Bool
}

// Duration stores a duration given as a string such as "1s" and reports whether it is in the range from low to high,
// both included.
func (v Value) Duration(to *time.Duration, low, high time.Duration) bool {
	var text string
	if !v.Text(&text) {
		return false
	}
	d, err := time.ParseDuration(text)
	*to = d
	return err == nil && d >= low && d <= high
}

// Address stores an IP address and port and reports whether they are valid, with a port and an address that
// are not zero.
func (v Value) Address(to *netip.AddrPort) bool {
	var text string
	if !v.Text(&text) {
		return false
	}
	address, err := netip.ParseAddrPort(text)
	*to = address
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

// Texts stores an array of strings and reports whether the value is one.
func (v Value) Texts(to *[]string) bool {
	if v.node.Kind != unstable.Array {
		return false
	}
	*to = nil
	for children := v.node.Children(); children.Next(); {
		one := Value{children.Node()}
		if one.node.Kind == unstable.Comment {
			continue
		}
		var text string
		if !one.Text(&text) {
			return false
		}
		*to = append(*to, text)
	}
	return true
}
