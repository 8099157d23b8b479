package overload

import (
	"math"
	"math/rand/v2"
	"time"

	"ryelug/core/cell"
)

const (
	ownSpread    = 0.6 // ownSpread is the standard deviation of the logarithm of the lengths of own parts where a kind names none,
	outputSpread = 0.5 // outputSpread that of answers.
	partSkew     = 0.8 // partSkew is the power by which some shared parts are more usual than others.
)

// request is one request of a caller, with what became of it.
type request struct {
	id     int
	kind   int
	team   int
	router int
	sent   time.Time // sent is when its caller tried first.
	prompt cell.Prompt
	output int // output is what will be generated.
	tries  int

	engine    int // engine is -1 while it has none.
	grantedAt time.Time
	predicted time.Duration
	first     time.Time
	last      time.Time // last is when the last event came.
	paused    bool      // paused tells that a pause was over the kind's.
	state     state
}

// state says what became of a request.
type state int

const (
	open state = iota
	whole
	refused
	failed
)

// load draws the requests of a plan, in the order of their times.
func load(plan *Plan, start time.Time) []*request {
	random := rand.New(rand.NewPCG(plan.Seed, 1))
	teams := weights(plan.Teams, plan.Skew)
	var requests []*request
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < time.Duration(plan.Length); at += step {
		for k := range plan.Kinds {
			kind := &plan.Kinds[k]
			for team, weight := range teams {
				n := poisson(random, kind.Rate*weight*plan.factor(at, team, k)*step.Seconds())
				for range n {
					requests = append(requests, &request{
						id: len(requests), kind: k, team: team, engine: -1, router: random.IntN(plan.Routers), sent: start.Add(at),
						prompt: kind.prompt(random, k, len(requests)), output: spread(random, kind.Output, outputSpread),
					})
				}
			}
		}
	}
	return requests
}

// factor returns by how much a team's rate of a kind is raised at a time.
func (p *Plan) factor(at time.Duration, team, kind int) float64 {
	factor := 1.0
	for i := range p.Waves {
		wave := &p.Waves[i]
		isTheirs := (wave.Team == 0 || wave.Team == team+1) && (wave.Kind == 0 || wave.Kind == kind+1)
		if isTheirs && at >= time.Duration(wave.From) && at < time.Duration(wave.To) {
			factor *= wave.Factor
		}
	}
	return factor
}

// prompt draws a prompt; the names of shared parts follow from the kind and the number of the part.
func (k *Kind) prompt(random *rand.Rand, kind, id int) cell.Prompt {
	prompt := cell.Prompt{Output: 2 * k.Output}
	if k.Shared > 0 {
		part := pick(random, weights(max(1, k.Parts), partSkew))
		length := k.Shared/2 + (part*7919)%max(1, k.Shared) // It is the same each time.
		prompt.Parts = append(prompt.Parts, cell.Part{ID: uint64(kind+1)<<32 + uint64(part), Tokens: max(1, length)})
	}
	prompt.Parts = append(prompt.Parts, cell.Part{ID: 1<<60 + uint64(id), Tokens: k.own(random)})
	return prompt
}

// own draws the length of a request's own part.
func (k *Kind) own(random *rand.Rand) int {
	length := spread(random, k.Own, k.Spread)
	if k.Most > 0 {
		length = min(length, k.Most)
	}
	return length
}

// weights returns parts of one, the nth of which is 1/n to the power of skew as large as the first.
func weights(n int, skew float64) []float64 {
	parts, sum := make([]float64, n), 0.0
	for i := range parts {
		parts[i] = math.Pow(float64(i+1), -skew)
		sum += parts[i]
	}
	for i := range parts {
		parts[i] /= sum
	}
	return parts
}

func pick(random *rand.Rand, parts []float64) int {
	at := random.Float64()
	for i, part := range parts {
		if at -= part; at < 0 {
			return i
		}
	}
	return len(parts) - 1
}

// spread draws a length with this mean.
func spread(random *rand.Rand, mean int, deviation float64) int {
	return max(1, int(float64(mean)*math.Exp(deviation*random.NormFloat64()-deviation*deviation/2)))
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for limit, product := math.Exp(-mean), random.Float64(); product > limit; n++ {
		product *= random.Float64()
	}
	return n
}
