package batch

import (
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/engine"
)

// Event tells of a request at an engine.
type Event int

// What may happen to a request.
const (
	Piece Event = iota // Piece: an event of its stream came.
	Done               // Done: its last event came.
)

// Job is a request at an engine.
type Job struct {
	Prompt cell.Prompt
	Output int     // Output is the number of tokens that it will generate.
	Fetch  *Engine // Fetch is an engine to copy kept parts from first; it may be nil.

	unread int // unread counts the tokens of the prompt that are still to be read.
	length int
	made   int
}

// Engine is one engine; one goroutine may use it.
type Engine struct {
	profile engine.Profile
	slow    float64 // slow stretches each step.
	memory  memory
	batch   []*Job
	waiting []*Job
	read    int // read counts prompt tokens, again tokens of shared parts that were read a second time.
	again   int
	putBack int
	seen    map[uint64]bool // seen holds the shared parts that some engine of the fleet has read.
}

// New returns an idle engine. Engines of a fleet share seen, by which they tell what they read again.
func New(profile engine.Profile, seen map[uint64]bool) *Engine {
	profile = profile.WithDefaults()
	return &Engine{profile: profile, slow: 1, memory: newMemory(profile.Memory), seen: seen}
}

// SetSlow stretches each step that begins from now on.
func (e *Engine) SetSlow(factor float64) { e.slow = factor }

// Add takes a request in and tells whether the engine was idle, so that Step is due.
func (e *Engine) Add(job *Job) (wasIdle bool) {
	wasIdle = len(e.batch)+len(e.waiting) == 0
	e.waiting = append(e.waiting, job)
	return wasIdle
}

// Clear drops all requests and all that the engine keeps, as an end of its process does.
func (e *Engine) Clear() {
	e.batch, e.waiting, e.memory = nil, nil, newMemory(e.profile.Memory)
}

// Totals returns the prompt tokens read so far, those of shared parts that were read again, and the requests put back.
func (e *Engine) Totals() (read, again, putBack int) { return e.read, e.again, e.putBack }

// Step runs one step and returns how long it took; zero if there is nothing to do. The events
// that out is told of come at its end.
func (e *Engine) Step(out func(*Job, Event)) time.Duration {
	e.admit()
	if len(e.batch) == 0 {
		return 0
	}
	took := e.profile.Step + time.Duration(len(e.batch))*e.profile.StepPerSlot
	room := e.profile.Chunk
	batch := slices.Clone(e.batch)
	for _, job := range batch {
		if job.unread > 0 {
			took += e.readSome(job, &room)
			continue
		}
		job.made++
		e.memory.tokens++
	}
	for !e.memory.shrink() && len(e.batch) > 1 {
		e.back()
	}
	for _, job := range batch {
		if job.unread == 0 && job.made > 0 && slices.Contains(e.batch, job) {
			e.tell(job, out)
		}
	}
	return time.Duration(float64(took) * e.slow)
}

// admit fills the batch in the order of arrival.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.profile.Slots {
		job := e.waiting[0]
		parts := job.Prompt.Parts
		needs := 0
		for _, part := range parts[e.memory.ready(parts):] {
			needs += part.Tokens
		}
		if !e.memory.fits(needs) && len(e.batch) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.begin(job)
	}
}

func (e *Engine) begin(job *Job) {
	parts := job.Prompt.Parts
	from := e.memory.ready(parts)
	job.length, job.unread, job.made = job.Prompt.Tokens(), 0, 0
	if job.Fetch != nil {
		from = max(from, min(job.Fetch.memory.ready(parts), len(parts)-1))
	}
	for i, part := range parts[from:] {
		job.unread += part.Tokens
		if from+i == len(parts)-1 {
			break // It is the request's own.
		}
		if e.seen[part.ID] {
			e.again += part.Tokens
		}
		e.seen[part.ID] = true
	}
	job.unread = max(1, job.unread) // The last token of a prompt is read in any case.
	e.memory.use(parts)
	e.memory.read(parts[:from])
	e.batch = append(e.batch, job)
}

// readSome reads a chunk of a prompt and returns how long that takes.
func (e *Engine) readSome(job *Job, room *int) time.Duration {
	some := min(job.unread, *room)
	middle := job.length - job.unread + some/2
	*room -= some
	job.unread -= some
	e.read += some
	if job.unread == 0 {
		e.memory.read(job.Prompt.Parts)
	}
	return time.Duration(some) * (e.profile.Prefill + e.profile.Pairs*time.Duration(middle)/1000)
}

// tell reports what a request's new token completes.
func (e *Engine) tell(job *Job, out func(*Job, Event)) {
	switch {
	case job.made >= job.Output:
		e.batch = slices.DeleteFunc(e.batch, func(one *Job) bool { return one == job })
		e.release(job)
		out(job, Done)
	case job.made%e.profile.Stride == 0:
		out(job, Piece)
	}
}

// back puts the newest request of the batch back before those that wait.
func (e *Engine) back() {
	last := len(e.batch) - 1
	job := e.batch[last]
	e.batch = e.batch[:last]
	e.release(job)
	job.Output -= job.made // What its stream has shown stays.
	e.waiting = append([]*Job{job}, e.waiting...)
	e.putBack++
}

func (e *Engine) release(job *Job) {
	e.memory.leave(job.Prompt.Parts)
	e.memory.tokens -= job.made
}
