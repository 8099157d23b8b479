package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"ryelug/core/result"
)

// Error tells what is wrong with one key, where, and what is allowed.
type Error struct {
	File    string
	Line    int // Line is zero when the key is not in the file.
	Key     string
	Value   string
	Allowed string
	Missing bool
	Unknown bool
	Err     error // Err is set when the file can't be read at all.
}

// Error returns one line of text.
func (e *Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	switch {
	case e.Err != nil:
		return fmt.Sprintf("%s: %v", place, e.Err)
	case e.Missing:
		return fmt.Sprintf("%s: %s is missing; allowed: %s", place, e.Key, e.Allowed)
	case e.Unknown:
		return fmt.Sprintf("%s: %s is not a key; allowed: %s", place, e.Key, e.Allowed)
	case e.Value == "":
		return fmt.Sprintf("%s: %s is wrong; allowed: %s", place, e.Key, e.Allowed)
	}
	return fmt.Sprintf("%s: %s = %s is wrong; allowed: %s", place, e.Key, e.Value, e.Allowed)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Code returns the result code of bad settings.
func (e *Error) Code() result.Code { return result.BadSettings }

// lines returns the line of each top-level key and table.
func lines(data []byte) map[string]int {
	found := map[string]int{}
	parser := &unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		key := node.Key()
		if !key.Next() {
			continue
		}
		name := string(key.Node().Data)
		line := parser.Shape(key.Node().Raw).Start.Line
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = name
		default:
			if table != "" {
				continue
			}
		}
		if found[name] == 0 {
			found[name] = line
		}
	}
	return found
}

// similar proposes a key that looks like name.
func similar(name string) string {
	for _, key := range keys {
		if strings.EqualFold(strings.ReplaceAll(name, "-", "_"), key.Name) || strings.HasPrefix(key.Name, name) {
			return fmt.Sprintf(" (did you mean %s?)", key.Name)
		}
	}
	return ""
}

// shown returns a value for an error text, with secrets left out.
func shown(key Key, value any) string {
	if key.Secret {
		return "(hidden)"
	}
	return fmt.Sprintf("%#v", value)
}
