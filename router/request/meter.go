package request

import (
	"bytes"
	"encoding/json"

	"ryelug/core/cell"
)

// bytesPerToken is the usual length of a token, for requests whose endpoint has not reported usage yet.
const bytesPerToken = 4

// meter counts the cost of one attempt.
type meter struct {
	service bool
	prompt  cell.Cost
	events  int
	usage   cell.Cost // usage is the endpoint's own count, zero until it comes.
}

func newMeter(service bool, body int) meter {
	return meter{service: service, prompt: cell.Cost(body / bytesPerToken)}
}

// usageField is the part of an answer that reports tokens.
type usageField struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

var usageKey = []byte(`"usage"`)

// event counts one event of a stream as a token.
func (m *meter) event(data []byte) {
	m.events++
	m.whole(data)
}

// whole looks for the endpoint's own count.
func (m *meter) whole(data []byte) {
	if m.service || !bytes.Contains(data, usageKey) {
		return
	}
	var field usageField
	if err := json.Unmarshal(data, &field); err != nil || field.Usage == nil {
		return
	}
	m.usage = cell.Cost(field.Usage.PromptTokens + field.Usage.CompletionTokens)
}

func (m *meter) cost() cell.Cost {
	switch {
	case m.service:
		return 1
	case m.usage > 0:
		return m.usage
	}
	return m.prompt + cell.Cost(m.events)
}
