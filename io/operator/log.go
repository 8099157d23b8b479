package operator

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Prefix is the fixed beginning of the log lines of one part.
type Prefix string

// Prefixes of the parts; docs/OPERATING.md lists them.
const (
	RouterPart   Prefix = "router"   // RouterPart: start, shutdown and the coordination loop.
	PeerPart     Prefix = "peer"     // PeerPart: links between routers.
	MemberPart   Prefix = "member"   // MemberPart: the list of hosts, and being cut off.
	DispatchPart Prefix = "dispatch" // DispatchPart: sessions and cells that this router dispatches.
	ConfigPart   Prefix = "config"   // ConfigPart: generations and their adoption.
	OperatorPart Prefix = "operator" // OperatorPart: this package.
	ListenerPart Prefix = "listener" // ListenerPart: io/listener.
	RequestPart  Prefix = "request"  // RequestPart: decisions on requests.
)

// Prefixes returns all prefixes.
func Prefixes() []Prefix {
	return []Prefix{RouterPart, PeerPart, MemberPart, DispatchPart, ConfigPart, OperatorPart, ListenerPart, RequestPart}
}

const partField = "part"

// LogConfig says what is logged, how and where.
type LogConfig struct {
	Level  logrus.Level
	Format string // Format is "text" or "json".
	Output io.Writer
}

// NewLog returns a log whose parts are made by Part.
func NewLog(config LogConfig) *logrus.Logger {
	log := logrus.New()
	log.SetLevel(config.Level)
	log.SetOutput(config.Output)
	var form logrus.Formatter = &logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
	}
	if config.Format == "json" {
		form = jsonForm{}
	}
	log.SetFormatter(&prefixer{form: form})
	return log
}

// Part returns the log of one part.
func Part(log logrus.FieldLogger, part Prefix) logrus.FieldLogger {
	return log.WithField(partField, string(part))
}

// prefixer puts the part before the message.
type prefixer struct {
	form logrus.Formatter
}

// Format returns the line of an entry, which the library has copied for this call.
func (p *prefixer) Format(entry *logrus.Entry) ([]byte, error) {
	if part, ok := entry.Data[partField].(string); ok {
		entry.Message = part + ": " + entry.Message
		delete(entry.Data, partField)
	}
	return p.form.Format(entry)
}
