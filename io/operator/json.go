package operator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// jsonForm writes an entry as one JSON object. It takes a fraction of the library's time,
// which counts where each request has a line.
type jsonForm struct{}

// Format implements logrus.Formatter.
func (jsonForm) Format(entry *logrus.Entry) ([]byte, error) {
	line := make([]byte, 0, 512)
	line = append(line, `{"time":"`...)
	line = entry.Time.AppendFormat(line, time.RFC3339Nano)
	line = append(line, `","level":"`...)
	line = append(line, entry.Level.String()...)
	line = append(line, `","msg":`...)
	line = appendText(line, entry.Message)
	names := make([]string, 0, len(entry.Data))
	for name := range entry.Data {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		line = append(line, ',')
		line = appendText(line, name)
		line = append(line, ':')
		line = appendValue(line, entry.Data[name])
	}
	return append(line, '}', '\n'), nil
}

func appendValue(line []byte, value any) []byte {
	switch value := value.(type) {
	case string:
		return appendText(line, value)
	case bool:
		return strconv.AppendBool(line, value)
	case int:
		return strconv.AppendInt(line, int64(value), 10)
	case int64:
		return strconv.AppendInt(line, value, 10)
	case uint64:
		return strconv.AppendUint(line, value, 10)
	case error:
		return appendText(line, value.Error())
	case fmt.Stringer:
		return appendText(line, value.String())
	}
	data, err := json.Marshal(value)
	if err != nil {
		return appendText(line, fmt.Sprint(value)) // A value that JSON can't hold is still told.
	}
	return append(line, data...)
}

// appendText quotes a text; one with characters that JSON escapes goes the long way.
func appendText(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			data, err := json.Marshal(text)
			if err != nil {
				return append(line, `""`...) // Unreachable: any string can be written as JSON.
			}
			return append(line, data...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
