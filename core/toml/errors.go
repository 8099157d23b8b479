package toml

import (
	"fmt"
	"strings"
)

// Error describes one error in a TOML text.
type Error struct {
	Line    int    // Line is the line number, from 1; it is 0 if the parser gave no position.
	Key     string // Key is the key with its table in front, such as teams.share.
	Value   string // Value is the value as written in the text; it is empty if the key is missing.
	Allowed string // Allowed describes the allowed values.
}

// Error returns the line, key, value and allowed values on one line.
func (e *Error) Error() string {
	found := "nothing"
	if e.Value != "" {
		found = e.Value
	}
	return fmt.Sprintf("line %d: %s: found %s; allowed: %s", e.Line, e.Key, found, e.Allowed)
}

// Errors lists the errors in a text, sorted by line.
type Errors []*Error

// Error returns the messages of all errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}
