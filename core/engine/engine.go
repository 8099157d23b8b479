package engine

import (
	"cmp"
	"slices"
	"time"

	"ryelug/core/cell"
)

// Defaults of a Profile; the speeds are those that the users' data sheets state for their engines.
const (
	DefaultSlots        = 64
	DefaultMemory       = 450_000                 // tokens
	DefaultPrefill      = 8 * time.Microsecond    // per prompt token
	DefaultStep         = 3270 * time.Microsecond // per step with an empty batch
	DefaultStepPerSlot  = 82 * time.Microsecond   // per step and request of the batch
	DefaultChunk        = 2048                    // prompt tokens read per step
	DefaultPairs        = 263 * time.Nanosecond   // per thousand pairs of a prompt token that is read and a token before it
	DefaultStride       = 7                       // tokens per event
	DefaultFirstLatency = 90 * time.Millisecond   // from the end of the prefill to the first event
)

const (
	latencyAverageDivisor = 4                      // latencyAverageDivisor is the inverse of the newest sample's weight in the moving average of the latency.
	latencyDecayTime      = 2 * time.Second        // latencyDecayTime is the age at which a measured deviation from the usual latency counts half; it decays so that a slow engine is tried again.
	maxLatency            = 10 * time.Second       // maxLatency is the largest latency that a sample counts as.
	overtakenAfter        = 100 * time.Millisecond // overtakenAfter is how overdue a first token is if a later prompt has overtaken it; network delays and steps cause less.
	memoryPercent         = 95                     // memoryPercent is the percentage of the memory that is allocated to requests; beyond it engines preempt running requests.
)

// Profile describes the performance of one type of engine; zero fields take the defaults.
type Profile struct {
	Slots        int           // Slots is the largest number of requests that run at once.
	Memory       int           // Memory is the capacity for running requests and cached prompt parts, in tokens.
	Prefill      time.Duration // Prefill is the time to read one prompt token.
	Step         time.Duration // Step is the time of a step with an empty batch.
	StepPerSlot  time.Duration // StepPerSlot is the time that each request of the batch adds to a step.
	Chunk        int           // Chunk is the number of prompt tokens that one step reads.
	Pairs        time.Duration // Pairs is the attention time for a thousand pairs of a token that is read and a token before it.
	Stride       int           // Stride is the number of tokens in one event of a stream.
	FirstLatency time.Duration // FirstLatency is the time from the end of the prefill to the first event.
}

// WithDefaults returns a copy of the profile with the defaults in its zero fields.
func (p Profile) WithDefaults() Profile {
	p.Slots = cmp.Or(p.Slots, DefaultSlots)
	p.Memory = cmp.Or(p.Memory, DefaultMemory)
	p.Prefill = cmp.Or(p.Prefill, DefaultPrefill)
	p.Step = cmp.Or(p.Step, DefaultStep)
	p.StepPerSlot = cmp.Or(p.StepPerSlot, DefaultStepPerSlot)
	p.Chunk = cmp.Or(p.Chunk, DefaultChunk)
	p.Pairs = cmp.Or(p.Pairs, DefaultPairs)
	p.Stride = cmp.Or(p.Stride, DefaultStride)
	p.FirstLatency = cmp.Or(p.FirstLatency, DefaultFirstLatency)
	return p
}

// Run is one request at an engine. The caller of Admit or Adopt owns it and passes it to Begun and Ended.
type Run struct {
	parts      []cell.Part // parts holds the prompt's parts; nil if only the total length is known.
	tokens     int         // tokens is the memory that the request takes at its end, without the shared parts of its prompt.
	prefillEnd time.Time   // prefillEnd is the predicted end of its prefill.
	begun      bool        // begun is true if its first token was seen or, as a later request has overtaken it, is no longer waited for.
}

// Prediction is the predicted performance of a request if it were sent to an engine now.
type Prediction struct {
	First time.Duration // First is the time to the first token.
	Wait  time.Duration // Wait is the part of First that passes before the engine reads the request's own prompt.
	Gap   time.Duration // Gap is the longest pause between events that reading the prompt causes in the streams of other requests.
	Fits  bool          // Fits is true if a slot and enough memory are free.
}

// Engine is the model of one engine. It is not safe for concurrent use.
type Engine struct {
	profile Profile
	cache   cache

	pace              float64       // pace is by how much work takes longer than by the profile; zero, like one, not at all.
	running           int           // running is the number of running requests.
	usedMemory        int           // usedMemory is the memory that the running requests will take at their ends, in tokens, without shared parts.
	pendingPrefills   []time.Time   // pendingPrefills holds, in ascending order, the predicted ends of prefill of the requests without a first token.
	idleAt            time.Time     // idleAt is the predicted time at which all prompts that were sent will have been read.
	firstTokenLatency time.Duration // firstTokenLatency is the moving average of the time from the predicted end of a prefill to the first token.
	measuredAt        time.Time     // measuredAt is the time of the last sample of firstTokenLatency; zero before the first.
}

// New returns the model of an engine without cached parts and running requests.
func New(profile Profile) *Engine {
	return &Engine{profile: profile.WithDefaults(), cache: newCache()}
}

// SetPace sets by how much work takes longer at the engine now than by its profile. The prompts that were sent and are still to
// be read take longer, or shorter, from now on.
func (e *Engine) SetPace(now time.Time, pace float64) {
	if pace == e.pace || e.pace == 0 && pace == 1 {
		return
	}
	if left := e.idleAt.Sub(now); left > 0 {
		e.idleAt = now.Add(time.Duration(float64(left) * pace / e.scale()))
		if pending := len(e.pendingPrefills); pending > 0 && e.idleAt.Before(e.pendingPrefills[pending-1]) {
			e.idleAt = e.pendingPrefills[pending-1] // The predicted ends stay in ascending order.
		}
	}
	e.pace = pace
}

// scale returns by how much work takes longer than by the profile.
func (e *Engine) scale() float64 {
	if e.pace == 0 {
		return 1
	}
	return e.pace
}

// scaled returns how long takes at the engine's present pace what takes this time by the profile.
func (e *Engine) scaled(byProfile time.Duration) time.Duration {
	if e.pace == 0 {
		return byProfile
	}
	return time.Duration(e.pace * float64(byProfile))
}

// Running returns the number of running requests.
func (e *Engine) Running() int { return e.running }

// Missing is the length of the prompt parts that an engine has not cached.
type Missing struct {
	Tokens int // Tokens counts the tokens of all parts that are not cached.
	Shared int // Shared counts those of Tokens that belong to parts which other requests share.
}

// Missing returns what of the prompt the model assumes not to be cached.
func (e *Engine) Missing(prompt *cell.Prompt) Missing {
	var missing Missing
	for i := e.cache.cachedPrefix(prompt.Parts); i < len(prompt.Parts); i++ {
		missing.Tokens += prompt.Parts[i].Tokens
		if i < len(prompt.Parts)-1 {
			missing.Shared += prompt.Parts[i].Tokens
		}
	}
	return missing
}

// Predict returns the predicted performance of a request that is sent now. The argument missing is the result of Missing
// for its prompt. With fetch, missing shared parts are copied from another engine and not read.
func (e *Engine) Predict(now time.Time, prompt *cell.Prompt, missing Missing, fetch bool) Prediction {
	reads := missing.reads(fetch)
	tokens := ownTokens(prompt) + prompt.Output
	wait := max(0, e.idleAt.Sub(now))
	if len(e.pendingPrefills) > 0 {
		// A prompt whose first token is overdue delays all prompts that arrive later.
		wait += max(0, now.Sub(e.pendingPrefills[0])-e.latency(now))
	}
	return Prediction{
		Wait:  wait,
		First: wait + e.prefill(reads, prompt.Tokens()) + e.latency(now),
		Gap:   e.gap(reads, prompt.Tokens()),
		Fits:  e.running < e.profile.Slots && (e.usedMemory+tokens)*100 <= e.profile.Memory*memoryPercent,
	}
}

// Admit records a request that is sent now. With fetch, missing shared parts are copied from another engine.
func (e *Engine) Admit(now time.Time, prompt *cell.Prompt, fetch bool) Run {
	reads := e.Missing(prompt).reads(fetch)
	if e.idleAt.Before(now) {
		e.idleAt = now
	}
	e.idleAt = e.idleAt.Add(e.prefill(reads, prompt.Tokens()))
	e.pendingPrefills = append(e.pendingPrefills, e.idleAt)
	run := Run{parts: prompt.Parts, tokens: ownTokens(prompt) + prompt.Output, prefillEnd: e.idleAt}
	e.addRunning(run.tokens)
	e.markUsed(sharedParts(prompt))
	return run
}

// Adopt records a running request of which only the total length in tokens is known.
func (e *Engine) Adopt(tokens int) Run {
	e.addRunning(tokens)
	return Run{tokens: tokens, begun: true}
}

// addRunning adds a running request and the memory that it will take at its end, in tokens.
func (e *Engine) addRunning(tokens int) {
	e.running++
	e.usedMemory += tokens
}

// Begun records a request's first token and updates the measured latency. An engine reads prompts in the order of
// arrival, so requests whose first tokens were due well before this one have been read and delay nothing any more.
// Otherwise a router that is slow to send requests, or to report their first tokens, would make the engine appear
// slow.
func (e *Engine) Begun(now time.Time, run *Run) {
	if run.begun {
		return
	}
	at, isNext := slices.BinarySearchFunc(e.pendingPrefills, run.prefillEnd, time.Time.Compare)
	if !isNext {
		run.begun = true // A later request has overtaken it, so its first token is no longer waited for.
		return
	}
	firstTokenLatency := now.Sub(run.prefillEnd)
	overdue := now.Add(-e.latency(now) - overtakenAfter)
	passed, _ := slices.BinarySearchFunc(e.pendingPrefills[:at], overdue, time.Time.Compare)
	e.pendingPrefills = slices.Delete(e.pendingPrefills, 0, passed)
	e.addSample(now, firstTokenLatency)
	if surplus := firstTokenLatency - e.latency(now); surplus > 0 && len(e.pendingPrefills) > 1 {
		e.idleAt = e.idleAt.Add(surplus / 2)
	}
	e.close(now, run)
}

// close removes a request from those without a first token.
func (e *Engine) close(now time.Time, run *Run) {
	run.begun = true
	if at, ok := slices.BinarySearchFunc(e.pendingPrefills, run.prefillEnd, time.Time.Compare); ok {
		e.pendingPrefills = slices.Delete(e.pendingPrefills, at, at+1)
	}
	if len(e.pendingPrefills) == 0 && e.idleAt.After(now) {
		e.idleAt = now
	}
}

// Ended removes a request, whether its first token was seen or not. The parts of one that has begun count as cached.
func (e *Engine) Ended(now time.Time, run *Run) {
	wasBegun := run.begun
	if !wasBegun {
		e.close(now, run)
	}
	e.running--
	e.usedMemory -= run.tokens
	if wasBegun {
		e.markUsed(run.parts)
	}
}

// AddCached records that an engine should have a part cached, as reported by a router that sent it there.
func (e *Engine) AddCached(part cell.Part) { e.markUsed([]cell.Part{part}) }

// SetReported records the parts that the engine itself reports as cached. As their last use is not known, they count as
// less recently used than all others.
func (e *Engine) SetReported(parts []cell.Part) {
	e.cache.addOldest(parts)
	e.cache.evictTo(e.profile.Memory - e.usedMemory)
}

// markUsed marks parts as just used, and evicts older ones that no longer fit beside the running requests.
func (e *Engine) markUsed(parts []cell.Part) {
	e.cache.use(parts)
	e.cache.evictTo(e.profile.Memory - e.usedMemory)
}

// addSample adds a sample to the moving average of the latency.
func (e *Engine) addSample(now time.Time, firstTokenLatency time.Duration) {
	firstTokenLatency = min(max(0, firstTokenLatency), maxLatency)
	known := e.latency(now)
	e.firstTokenLatency, e.measuredAt = known+(firstTokenLatency-known)/latencyAverageDivisor, now
}

// latency returns the time from the end of a prefill to the first event: the moving average of the samples, which
// approaches the profile's latency with its age.
func (e *Engine) latency(now time.Time) time.Duration {
	if e.measuredAt.IsZero() {
		return e.profile.FirstLatency
	}
	age := now.Sub(e.measuredAt)
	if age <= 0 {
		return e.firstTokenLatency
	}
	return e.profile.FirstLatency + time.Duration(float64(e.firstTokenLatency-e.profile.FirstLatency)/(1+float64(age)/float64(latencyDecayTime)))
}

// prefill returns the time to read the last tokens of a prompt of the given total length, beside the present
// running requests.
func (e *Engine) prefill(tokens, length int) time.Duration {
	if tokens == 0 {
		return 0
	}
	middle := length - tokens/2
	return e.scaled(time.Duration(tokens)*(e.profile.Prefill+e.attention(middle)) + time.Duration(tokens)*e.step()/time.Duration(e.profile.Chunk))
}

// gap returns the longest pause between events of other streams while the last tokens of a prompt of the given total length
// are read. An event takes Stride steps. Other prompts fill the rest of these steps' chunks. The last tokens take longest,
// as each attends to all tokens before it.
func (e *Engine) gap(tokens, length int) time.Duration {
	chunk := time.Duration(min(tokens, e.profile.Chunk))
	window := min(tokens, e.profile.Stride*e.profile.Chunk)
	steps := time.Duration(e.profile.Stride) * (e.step() + chunk*e.profile.Prefill)
	return e.scaled(steps + time.Duration(window)*e.attention(length-window/2))
}

// step returns the time of a step that reads no prompt tokens.
func (e *Engine) step() time.Duration {
	return e.profile.Step + time.Duration(e.running)*e.profile.StepPerSlot
}

// attention returns the time that reading a token takes in addition, for the given number of tokens before it.
func (e *Engine) attention(before int) time.Duration {
	return time.Duration(before) * e.profile.Pairs / 1000
}

// reads returns the number of tokens to read; with fetch, shared parts are copied instead.
func (m Missing) reads(fetch bool) int {
	if fetch {
		return m.Tokens - m.Shared
	}
	return m.Tokens
}

// ownTokens returns the length of the prompt's last part, which no other request shares.
func ownTokens(prompt *cell.Prompt) int {
	if len(prompt.Parts) == 0 {
		return 0
	}
	return prompt.Parts[len(prompt.Parts)-1].Tokens
}

// sharedParts returns all parts of the prompt but the last one.
func sharedParts(prompt *cell.Prompt) []cell.Part {
	return prompt.Parts[:max(0, len(prompt.Parts)-1)]
}
