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
	maxTextLength = 200 // maxTextLength bounds printable texts, in bytes.
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	textPattern = regexp.MustCompile(`^[!-~]+$`)
)

// Value is a TOML value on its way into a field; its methods return false if the value is not allowed.
type Value struct {
	node *unstable.Node
}

// Text takes a string.
func (v Value) Text(to *string) bool {
	*to = string(v.node.Data)
	return v.node.Kind == unstable.String
}

// Name takes a name of 1 to 63 letters, digits, dots, hyphens and underscores.
func (v Value) Name(to *string) bool {
	return v.Text(to) && namePattern.MatchString(*to)
}

// Printable takes 1 to 200 printable characters without spaces.
func (v Value) Printable(to *string) bool {
	return v.Text(to) && len(*to) <= maxTextLength && textPattern.MatchString(*to)
}

// Integer takes a whole number from low to high.
func (v Value) Integer(to *int64, low, high int64) bool {
	if v.node.Kind != unstable.Integer {
		return false
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(string(v.node.Data), "_", ""), 0, 64)
	*to = n
	return err == nil && n >= low && n <= high
}

// Count takes a whole number from 1 to high.
func (v Value) Count(to *int, high int64) bool {
	var n int64
	ok := v.Integer(&n, 1, high)
	*to = int(n)
	return ok
}

// Flag takes true or false.
func (v Value) Flag(to *bool) bool {
	*to = string(v.node.Data) == "true"
	return v.node.Kind == unstable.Bool
}

// Duration takes a string such as "1s" from low to high.
func (v Value) Duration(to *time.Duration, low, high time.Duration) bool {
	var text string
	if !v.Text(&text) {
		return false
	}
	d, err := time.ParseDuration(text)
	*to = d
	return err == nil && d >= low && d <= high
}

// Address takes an IP number and port.
func (v Value) Address(to *netip.AddrPort) bool {
	var text string
	if !v.Text(&text) {
		return false
	}
	address, err := netip.ParseAddrPort(text)
	*to = address
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

// Texts takes a list of strings.
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
