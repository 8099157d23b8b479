package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"ryelug/standin/endpoint"
)

// ChatPath is the path of chat completions.
const ChatPath = "/v1/chat/completions"

const (
	defaultTokens  = 16
	bytesPerToken  = 4
	maxGenerations = 4096
)

// Config is what an Engine is made of; WarmLimit and ColdLimit bound the requests in flight that it can bear.
type Config struct {
	Name       string
	Seed       uint64
	WarmLimit  int
	ColdLimit  int
	WarmUp     int // WarmUp is the number of completed requests that makes a cold engine warm.
	Cold       bool
	FallsOver  bool          // FallsOver says that a cold engine restarts when it gets more than ColdLimit.
	ReportLag  time.Duration // ReportLag is how old a load report may be.
	FirstToken time.Duration // FirstToken is the time to the first token.
	TokenGap   time.Duration // TokenGap is the time between tokens.
	Tokens     int           // Tokens is the length of answers to requests without max_tokens.
	Vary       bool          // Vary draws the length of an answer between one and the limit, by seed and request id.
}

// Engine is a stand-in of a model engine.
type Engine struct {
	*endpoint.Endpoint
	config Config

	mu     sync.Mutex
	number int
	last   string // last is the request that arrived before the present one.
	known  map[string]generation
	order  []string
}

// generation is an answer that can be resumed.
type generation struct {
	start  string
	tokens int
	prompt int
	model  string
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// New returns an engine that serves nothing yet.
func New(config Config) *Engine {
	if config.Tokens == 0 {
		config.Tokens = defaultTokens
	}
	engine := &Engine{config: config, known: map[string]generation{}}
	engine.Endpoint = endpoint.New(endpoint.Config{
		Name:      config.Name,
		WarmLimit: config.WarmLimit,
		ColdLimit: config.ColdLimit,
		WarmUp:    config.WarmUp,
		Cold:      config.Cold,
		ReportLag: config.ReportLag,
		FallsOver: config.FallsOver,
		Handler:   engine.handle,
	})
	return engine
}

func (e *Engine) handle(ctx context.Context, req *fasthttp.RequestCtx) {
	if string(req.Path()) != ChatPath || !req.IsPost() {
		endpoint.WriteError(req, fasthttp.StatusNotFound, "no such path")
		return
	}
	var chat chatRequest
	if err := json.Unmarshal(req.PostBody(), &chat); err != nil {
		endpoint.WriteError(req, fasthttp.StatusBadRequest, err.Error())
		return
	}
	id := e.requestID(req)
	fault := e.NextFault()
	if _, refuses := fault.(*endpoint.Refuse); refuses {
		e.Refused(id)
		endpoint.WriteError(req, fasthttp.StatusServiceUnavailable, "the engine takes no work now")
		return
	}
	e.answer(ctx, req, id, chat, fault)
}

func (e *Engine) answer(ctx context.Context, req *fasthttp.RequestCtx, id string, chat chatRequest, fault endpoint.Fault) {
	run, from := endpoint.FirstRun, 0
	made := e.generation(id, chat)
	if header := req.Request.Header.Peek("Last-Event-ID"); len(header) > 0 {
		var ok bool
		if made, from, ok = e.resume(id, string(header)); !ok {
			endpoint.WriteError(req, fasthttp.StatusNotFound, "no such generation to resume")
			return
		}
		run = endpoint.Resumed
	}
	answering := e.answering(id, fault)
	e.remember(id, made)
	slot := e.Begin(ctx, id, run)
	if chat.Stream {
		stream := &stream{engine: e, caller: ctx, slot: slot, id: answering, made: made, next: from + 1, fault: fault}
		stream.begin(req)
		return
	}
	e.whole(ctx, req, slot, answering, made, fault)
}

// whole answers at once, after all tokens.
func (e *Engine) whole(caller context.Context, req *fasthttp.RequestCtx, slot *endpoint.Slot, id string, made generation, fault endpoint.Fault) {
	took := e.config.FirstToken + time.Duration(made.tokens-1)*e.config.TokenGap
	if !slot.Sleep(took) {
		slot.End(endpoint.CancelledRun)
		endpoint.Hang(req)
		return
	}
	switch fault.(type) {
	case *endpoint.Break:
		slot.End(endpoint.BrokenRun)
		endpoint.Hang(req)
		return
	case *endpoint.Drop:
		slot.End(endpoint.CompletedRun)
		endpoint.Hang(req)
		return
	case *endpoint.Mute:
		slot.End(endpoint.CompletedRun)
		<-caller.Done()
		return
	}
	slot.End(endpoint.CompletedRun)
	text := ""
	for token := 1; token <= made.tokens; token++ {
		text += tokenText(id, token)
	}
	req.Response.Header.Set("X-Request-Id", id)
	endpoint.WriteJSON(req, fasthttp.StatusOK, wholeAnswer(id, text, made))
}

// requestID returns the caller's id of the request, or a new one.
func (e *Engine) requestID(req *fasthttp.RequestCtx) string {
	if id := string(req.Request.Header.Peek("X-Request-Id")); id != "" {
		return id
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.number++
	return fmt.Sprintf("%s-anonymous-%d", e.config.Name, e.number)
}

// answering returns the id that the answer names: another one under Cross.
func (e *Engine) answering(id string, fault endpoint.Fault) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.last
	e.last = id
	if _, crossed := fault.(*endpoint.Cross); !crossed {
		return id
	}
	if last == "" || last == id {
		return "another-request"
	}
	return last
}

// generation plans the answer to a request.
func (e *Engine) generation(id string, chat chatRequest) generation {
	tokens := chat.MaxTokens
	if tokens <= 0 {
		tokens = e.config.Tokens
	}
	if e.config.Vary {
		random := rand.New(rand.NewPCG(e.config.Seed, xxhash.Sum64String(id)))
		tokens = 1 + random.IntN(tokens)
	}
	prompt := 1
	for _, message := range chat.Messages {
		prompt += len(message.Content) / bytesPerToken
	}
	return generation{start: e.Load().Start, tokens: tokens, prompt: prompt, model: chat.Model}
}

func (e *Engine) remember(id string, made generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.known[id]; !known {
		e.order = append(e.order, id)
	}
	e.known[id] = made
	if len(e.order) > maxGenerations {
		delete(e.known, e.order[0])
		e.order = e.order[1:]
	}
}

// resume returns an earlier generation of the present start, and the last event that the caller has.
func (e *Engine) resume(id, lastEvent string) (generation, int, bool) {
	from, err := strconv.Atoi(lastEvent)
	if err != nil || from < 0 {
		return generation{}, 0, false
	}
	start := e.Load().Start
	e.mu.Lock()
	defer e.mu.Unlock()
	made, ok := e.known[id]
	return made, from, ok && made.start == start
}

func tokenText(id string, token int) string {
	return fmt.Sprintf("%s:%d ", id, token)
}
