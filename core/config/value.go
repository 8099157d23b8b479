package config

import (
	"encoding/hex"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	keyHashLength = 32  // keyHashLength is the size of a SHA-256 hash in bytes.
	maxKeyHashes  = 100 // maxKeyHashes bounds the keys of a team.
	maxTextLength = 200 // maxTextLength bounds models and paths, in bytes.
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	textPattern = regexp.MustCompile(`^[!-~]+$`)
)

// value is a TOML value on its way into a field; its methods return false if the value is not allowed.
type value struct {
	node *unstable.Node
}

func (v value) text(to *string) bool {
	*to = string(v.node.Data)
	return v.node.Kind == unstable.String
}

func (v value) name(to *string) bool {
	return v.text(to) && namePattern.MatchString(*to)
}

func (v value) printable(to *string) bool {
	return v.text(to) && len(*to) <= maxTextLength && textPattern.MatchString(*to)
}

func (v value) path(to *string) bool {
	return v.printable(to) && strings.HasPrefix(*to, "/") && !strings.ContainsAny(*to, "?#")
}

func (v value) kind(to *PoolKind) bool {
	*to = PoolKind(v.node.Data)
	return v.node.Kind == unstable.String && (*to == Engine || *to == Service)
}

func (v value) integer(to *int64, low, high int64) bool {
	if v.node.Kind != unstable.Integer {
		return false
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(string(v.node.Data), "_", ""), 0, 64)
	*to = n
	return err == nil && n >= low && n <= high
}

// count reads a whole number from 1 to high.
func (v value) count(to *int, high int64) bool {
	var n int64
	ok := v.integer(&n, 1, high)
	*to = int(n)
	return ok
}

func (v value) flag(to *bool) bool {
	*to = string(v.node.Data) == "true"
	return v.node.Kind == unstable.Bool
}

func (v value) duration(to *time.Duration, low, high time.Duration) bool {
	var text string
	if !v.text(&text) {
		return false
	}
	d, err := time.ParseDuration(text)
	*to = d
	return err == nil && d >= low && d <= high
}

func (v value) address(to *netip.AddrPort) bool {
	var text string
	if !v.text(&text) {
		return false
	}
	address, err := netip.ParseAddrPort(text)
	*to = address
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

func (v value) keyHashes(to *[]string) bool {
	if v.node.Kind != unstable.Array {
		return false
	}
	*to = nil
	for children := v.node.Children(); children.Next(); {
		hash := children.Node()
		if hash.Kind == unstable.Comment {
			continue
		}
		if hash.Kind != unstable.String || !isKeyHash(string(hash.Data)) {
			return false
		}
		*to = append(*to, string(hash.Data))
	}
	return len(*to) <= maxKeyHashes
}

func isKeyHash(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == keyHashLength && strings.ToLower(text) == text
}
