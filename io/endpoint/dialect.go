package endpoint

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
	"ryelug/io/header"
)

// Dialect names what differs between the endpoints of deployments. Names of
// header fields that are empty stand for fields that the endpoints don't have.
type Dialect struct {
	RequestID string // RequestID carries the id of the call, both ways.
	LastEvent string // LastEvent carries the id of the event after which a stream goes on.
	NotRun    string // NotRun in an answer says that the endpoint did not run the call.
	Start     string // Start carries the name of the endpoint that the call is for; another one at its address answers 421.
	Deadline  string // Deadline carries the milliseconds left for the call.
	Fetch     string // Fetch carries where an engine listens that keeps parts of the prompt.
	Seal      string // Seal is in each genuine answer that counts as a success.

	Kept KeptForm // Kept asks engines what they keep; nil if they don't tell.

	Reports  bool // Reports tells that endpoints answer requests for their load, and orders to cancel.
	Verbatim bool // Verbatim keeps headers and events as the endpoint wrote them; a stream ends with its framing.
}

// KeptForm is how engines tell which parts of prompts they keep.
type KeptForm interface {
	// Path returns the path of the question.
	Path() string
	// Read returns the parts that an answer tells of.
	Read(body []byte) ([]cell.Part, error)
}

// ownDialect is that of the product's own endpoints.
var ownDialect = Dialect{
	RequestID: headerRequestID, LastEvent: headerLastEvent, NotRun: headerNotRun, Reports: true,
}

// verbatim returns the fields of an answer that are passed on.
func verbatim(resp *fasthttp.Response) []header.Field {
	var fields []header.Field
	for name, value := range resp.Header.All() {
		if !header.IsHopByHop(string(name)) {
			fields = append(fields, header.Field{Name: string(name), Value: string(value)})
		}
	}
	return fields
}

// refused tells whether an answer says that the call was not run.
func (d *Dialect) refused(resp *fasthttp.Response) bool {
	if d.Verbatim {
		return len(resp.Header.Peek(d.NotRun)) > 0
	}
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(d.NotRun)) == "true"
}

// keepMargin is the time before an endpoint closes an idle connection in which nothing more is sent on it.
const keepMargin = 500 * time.Millisecond

// keepAlive returns how long the endpoint keeps an idle connection; zero when it does not say.
func keepAlive(resp *fasthttp.Response) time.Duration {
	for parameter := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if seconds, err := strconv.Atoi(text); ok && err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
