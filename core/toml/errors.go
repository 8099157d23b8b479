package toml

import (
	"fmt"
	"strings"
)

// Error tells one thing that is wrong in a text.
type Error struct {
	Line    int    // Line counts from 1; it is 0 for what is missing from the whole text.
	Key     string // Key is the full key, such as teams.share.
	Value   string // Value is the value as written; it is empty when the key is missing.
	Allowed string // Allowed says what may stand there.
}

// Error returns line, key, value and what is allowed on one line.
func (e *Error) Error() string {
	found := "nothing"
	if e.Value != "" {
		found = e.Value
	}
	return fmt.Sprintf("line %d: %s: found %s; allowed: %s", e.Line, e.Key, found, e.Allowed)
}

// Errors lists all that is wrong in a text, in the order of its lines.
type Errors []*Error

// Error returns one line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}
