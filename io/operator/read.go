package operator

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Line is a log line as it was written, in either format.
type Line struct {
	Message string // Message lacks the prefix of its part.
	fields  map[string]string
	err     error
}

// Beginnings of a line; what stands before them was put there by whoever collected the lines.
const (
	jsonBegins = `{"time":`
	textBegins = `time=`
)

// messageField is the library's name of the message.
const messageField = "msg"

// ReadLine reads a log line, which may have anything before it.
func ReadLine(text string) (*Line, error) {
	var (
		fields map[string]string
		err    error
	)
	if at := strings.Index(text, jsonBegins); at >= 0 {
		fields, err = jsonFields(text[at:])
	} else if at := strings.Index(text, textBegins); at >= 0 {
		fields, err = textFields(text[at:])
	} else {
		return nil, fmt.Errorf("no log line in %q", text)
	}
	if err != nil {
		return nil, err
	}
	message := fields[messageField]
	for _, part := range Prefixes() {
		message = strings.TrimPrefix(message, string(part)+": ")
	}
	return &Line{Message: message, fields: fields}, nil
}

func jsonFields(text string) (map[string]string, error) {
	var values map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &values); err != nil {
		return nil, fmt.Errorf("read a line of JSON: %w", err)
	}
	fields := make(map[string]string, len(values))
	for name, value := range values {
		var quoted string
		if json.Unmarshal(value, &quoted) != nil { // A number or another value stands for itself.
			quoted = string(value)
		}
		fields[name] = quoted
	}
	return fields, nil
}

// textFields reads fields as the library's text format writes them: name=value, where the value may be quoted.
func textFields(text string) (map[string]string, error) {
	fields := make(map[string]string)
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		name, rest, ok := strings.Cut(text, "=")
		if !ok {
			return nil, fmt.Errorf("no value of a field in %q", text)
		}
		value, after, err := textValue(rest)
		if err != nil {
			return nil, fmt.Errorf("value of field %q: %w", name, err)
		}
		fields[name], text = value, after
	}
	return fields, nil
}

func textValue(text string) (value, rest string, err error) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", err
	}
	value, err = strconv.Unquote(quoted)
	return value, text[len(quoted):], err
}

// Text returns the value of a field, empty if there is none.
func (l *Line) Text(name string) string { return l.fields[name] }

// Int returns the number in a field; a field that is missing or holds none shows at Err.
func (l *Line) Int(name string) int64 {
	number, err := strconv.ParseInt(l.fields[name], 10, 64)
	if err != nil && l.err == nil {
		l.err = fmt.Errorf("field %q of a line %q: %w", name, l.Message, err)
	}
	return number
}

// Second returns the time in a field of Unix seconds, as Int does.
func (l *Line) Second(name string) time.Time { return time.Unix(l.Int(name), 0) }

// Err returns the first error of reading a field.
func (l *Line) Err() error { return l.err }
