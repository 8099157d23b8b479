package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"ryelug/standin/endpoint"
)

var (
	errBroken    = errors.New("the engine broke the stream off")
	errCancelled = errors.New("the caller left")
)

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index   int          `json:"index"`
	Message *chatMessage `json:"message,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// stream is the body of a streamed answer; reading it takes the time that the engine takes.
type stream struct {
	engine *Engine
	caller context.Context // caller ends when the caller has gone.
	slot   *endpoint.Slot
	id     string
	made   generation
	next   int // next is the number of the event to come.
	sent   int
	fault  endpoint.Fault
	rest   []byte
	done   bool
}

func (s *stream) begin(req *fasthttp.RequestCtx) {
	req.SetContentType("text/event-stream")
	req.Response.Header.Set("X-Request-Id", s.id)
	req.Response.ImmediateHeaderFlush = true
	req.SetBodyStream(s, -1)
}

// Read returns the next event, after its delay.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		if s.done {
			return 0, io.EOF
		}
		if err := s.advance(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// Close ends a run whose caller has left.
func (s *stream) Close() error {
	s.slot.End(endpoint.CancelledRun)
	return nil
}

func (s *stream) advance() error {
	if err := s.strike(); err != nil {
		return err
	}
	delay := s.engine.config.TokenGap
	if s.sent == 0 {
		delay = s.engine.config.FirstToken
	}
	if s.next > s.made.tokens {
		delay = 0
	}
	if !s.slot.Sleep(delay) {
		s.slot.End(endpoint.CancelledRun)
		return errCancelled
	}
	if s.next > s.made.tokens {
		s.finish()
		return nil
	}
	delta := &chatMessage{Role: "assistant", Content: tokenText(s.id, s.next)}
	s.rest = s.event(choice{Delta: delta}, nil)
	s.next++
	s.sent++
	return nil
}

// strike lets the fault happen when it is due.
func (s *stream) strike() error {
	switch fault := s.fault.(type) {
	case *endpoint.Break:
		if s.sent >= fault.After {
			s.slot.End(endpoint.BrokenRun)
			return errBroken
		}
	case *endpoint.Drop:
		s.slot.End(endpoint.CompletedRun)
		return errBroken
	case *endpoint.Mute:
		s.slot.End(endpoint.CompletedRun)
		<-s.caller.Done()
		return errBroken
	}
	return nil
}

// finish frees the slot before the last bytes go out, as engines do.
func (s *stream) finish() {
	s.done = true
	s.slot.End(endpoint.CompletedRun)
	stop := "stop"
	last := s.event(choice{Delta: &chatMessage{}, Finish: &stop}, s.made.usage())
	s.rest = append(last, "data: [DONE]\n\n"...)
}

func (s *stream) event(only choice, usage *usage) []byte {
	data, err := json.Marshal(answer{
		ID:      s.id,
		Object:  "chat.completion.chunk",
		Model:   s.made.model,
		Choices: []choice{only},
		Usage:   usage,
	})
	if err != nil {
		return nil
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", s.next, data)
}

func wholeAnswer(id, text string, made generation) answer {
	stop := "stop"
	message := &chatMessage{Role: "assistant", Content: text}
	return answer{
		ID:      id,
		Object:  "chat.completion",
		Model:   made.model,
		Choices: []choice{{Message: message, Finish: &stop}},
		Usage:   made.usage(),
	}
}

func (g generation) usage() *usage {
	return &usage{
		PromptTokens:     g.prompt,
		CompletionTokens: g.tokens,
		TotalTokens:      g.prompt + g.tokens,
	}
}
