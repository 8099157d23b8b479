package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"ryelug/core/result"
	"ryelug/core/toml"
)

const allowedKeys = "the keys of docs/SETTINGS.md"

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

// syntaxError tells where a file is no TOML.
func syntaxError(file string, err error) error {
	wrong := &Error{File: file, Err: err}
	var all toml.Errors
	if errors.As(err, &all) {
		first := all[0]
		wrong.Line = first.Line
		wrong.Err = trace.BadParameter("%s; allowed: %s", first.Value, first.Allowed)
	}
	return wrong
}

// keyErrors tells all that is wrong with the keys of a file.
func keyErrors(file string, err error) error {
	var all toml.Errors
	if !errors.As(err, &all) {
		return &Error{File: file, Err: err}
	}
	wrong := make([]error, len(all))
	for i, one := range all {
		wrong[i] = keyError(file, one)
	}
	return errors.Join(wrong...)
}

func keyError(file string, found *toml.Error) *Error {
	wrong := &Error{File: file, Line: found.Line, Key: found.Key, Value: found.Value, Allowed: found.Allowed}
	i := slices.IndexFunc(keys, func(key Key) bool { return key.Name == found.Key })
	switch {
	case i < 0:
		wrong.Unknown = true
		wrong.Allowed = allowedKeys + similar(found.Key)
	case found.Value == "":
		wrong.Line = 0 // The key is not in the file.
		wrong.Missing = keys[i].Required
	case found.Value == found.Key:
		wrong.Value = "" // The key itself is wrong, such as one that is there twice.
	case keys[i].Secret:
		wrong.Value = "(hidden)"
	}
	return wrong
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
