package request

import (
	"bytes"
	"encoding/json"

	"ryelug/core/cell"
)

// bytesPerToken is the assumed length of a token. It gives a rough prompt cost for requests whose
// endpoint has not reported its token usage yet.
const bytesPerToken = 4

// meter measures the cost of one attempt: tokens at an engine, or one unit per call at a service.
type meter struct {
	service        bool      // whether each call costs one unit
	promptEstimate cell.Cost // tokens of the request body, estimated from its length
	eventCount     int       // relayed stream events, each counted as one token
	usage          cell.Cost // tokens that the endpoint itself has reported; zero until then
}

func newMeter(service bool, bodyBytes int) meter {
	return meter{service: service, promptEstimate: cell.Cost(bodyBytes / bytesPerToken)}
}

// tokenUsage is the part of an answer or stream event in which an engine reports its token counts.
type tokenUsage struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

var usageKey = []byte(`"usage"`)

// event counts a relayed stream event as one token and reads the usage from it, if it has any.
func (m *meter) event(data []byte) {
	m.eventCount++
	m.readUsage(data)
}

// readUsage reads the token usage from a whole answer or a stream event of an engine, if it reports
// any. The latest report replaces earlier ones.
func (m *meter) readUsage(data []byte) {
	if m.service || !bytes.Contains(data, usageKey) {
		return
	}
	var report tokenUsage
	if err := json.Unmarshal(data, &report); err != nil || report.Usage == nil {
		return
	}
	m.usage = cell.Cost(report.Usage.PromptTokens + report.Usage.CompletionTokens)
}

// cost returns the cost so far: one unit for a service; for an engine the reported usage, or an
// estimate until usage is reported.
func (m *meter) cost() cell.Cost {
	switch {
	case m.service:
		return 1
	case m.usage > 0:
		return m.usage
	}
	return m.promptEstimate + cell.Cost(m.eventCount)
}
