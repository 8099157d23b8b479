package endpoint

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
	"ryelug/io/header"
)

// Dialect describes the HTTP conventions of a deployment's endpoints. A header field name that is empty
// means that the endpoints have no such field.
type Dialect struct {
	RequestID string // RequestID is the header field with the id of the request, in calls and in answers.
	LastEvent string // LastEvent is the header field with the id of the event after which a stream resumes.
	NotRun    string // NotRun is the header field of an answer that marks the call as not run.
	Start     string // Start is the header field with the name of the endpoint that the call is for; another endpoint at the same address answers 421.
	Deadline  string // Deadline is the header field with the milliseconds left for the call.
	Fetch     string // Fetch is the header field with the address of an engine that has cached parts of the prompt.
	Load      string // Load is the header field of an answer with the endpoint's load: running,waiting,slots,pace. A field with fewer figures is ignored.
	Seal      string // Seal is a header field that every answer with a status below 300 must have; one without it is not taken for the endpoint's.

	Leaving string // Leaving is the header field with which an answer says, by 1, that its endpoint leaves and wants no further calls.
	Rests   bool   // Rests is set if an endpoint that answers 503 with Retry-After wants no calls from this router for so long.

	Kept KeptForm // Kept is the query for the prompt parts that an engine has cached; nil if the engines have none.

	Reports  bool // Reports is set if the endpoints serve load reports and accept cancellations.
	Verbatim bool // Verbatim forwards header fields and events unchanged; the end of a stream is then that of its HTTP framing, not the Done event.
}

// KeptForm is the query with which engines report the prompt parts that they have cached.
type KeptForm interface {
	// Path returns the URL path of the query.
	Path() string
	// Read decodes the prompt parts in the body of an answer; it returns an error if the body is malformed.
	Read(body []byte) ([]cell.Part, error)
}

// ownDialect is the dialect of the product's own endpoints.
var ownDialect = Dialect{
	RequestID: headerRequestID, LastEvent: headerLastEvent, NotRun: headerNotRun, Reports: true,
}

// forwardedFields returns the header fields of an answer that are forwarded: all but the hop-by-hop ones.
func forwardedFields(resp *fasthttp.Response) []header.Field {
	var fields []header.Field
	for name, value := range resp.Header.All() {
		if !header.IsHopByHop(string(name)) {
			fields = append(fields, header.Field{Name: string(name), Value: string(value)})
		}
	}
	return fields
}

// refused reports whether the answer says that the call was not run.
func (d *Dialect) refused(resp *fasthttp.Response) bool {
	if d.Verbatim {
		return len(resp.Header.Peek(d.NotRun)) > 0
	}
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(d.NotRun)) == "true"
}

// keepAliveMargin is how long before the end of the endpoint's keep-alive time a connection is no longer used,
// so that a call does not cross the closing of the connection.
const keepAliveMargin = 500 * time.Millisecond

// keepAlive returns the timeout of the Keep-Alive header; zero if it has none.
func keepAlive(resp *fasthttp.Response) time.Duration {
	for parameter := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if seconds, err := strconv.Atoi(text); ok && err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
