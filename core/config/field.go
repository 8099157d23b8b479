package config

import "time"

const (
	maxShare   = 1_000_000
	maxLimit   = 100_000
	maxQueue   = 1_000_000
	maxCost    = 1_000_000_000
	maxWaiting = time.Hour
	maxRunning = 24 * time.Hour // maxRunning bounds the time that a request may run.
)

const (
	allowedName   = "a quoted name of 1 to 63 letters, digits, dots, hyphens and underscores, a letter or digit first"
	allowedText   = "a quoted text of 1 to 200 printable characters without spaces"
	allowedFlag   = "true or false"
	allowedHashes = "a list of at most 100 SHA-256 hashes, each of 64 lower-case hex digits in quotes"
	allowedLimit  = "a whole number from 1 to 100000"
)

// field is one key of a table: how its value is read and what may stand there.
type field[T any] struct {
	name     string
	required bool
	allowed  string
	set      func(item *T, v value) bool
}

var documentFields = []field[Document]{
	{"environment", true, allowedName, func(d *Document, v value) bool { return v.name(&d.Environment) }},
}

var teamFields = []field[Team]{
	{"name", true, allowedName, func(t *Team, v value) bool { return v.name(&t.Name) }},
	{"share", true, "a whole number from 1 to 1000000", func(t *Team, v value) bool { return v.count(&t.Share, maxShare) }},
	{"key_hashes", false, allowedHashes, func(t *Team, v value) bool { return v.keyHashes(&t.KeyHashes) }},
}

var dataCentreFields = []field[DataCentre]{
	{"name", true, allowedName, func(c *DataCentre, v value) bool { return v.name(&c.Name) }},
	{"region", true, allowedName, func(c *DataCentre, v value) bool { return v.name(&c.Region) }},
	{"out", false, allowedFlag, func(c *DataCentre, v value) bool { return v.flag(&c.Out) }},
}

var poolFields = []field[Pool]{
	{"name", true, allowedName, func(p *Pool, v value) bool { return v.name(&p.Name) }},
	{"kind", true, `"engine" or "service"`, func(p *Pool, v value) bool { return v.kind(&p.Kind) }},
	{"model", false, allowedText, func(p *Pool, v value) bool { return v.printable(&p.Model) }},
	{"queue_limit", false, "a whole number from 1 to 1000000", func(p *Pool, v value) bool {
		return v.count(&p.QueueLimit, maxQueue)
	}},
	{"queue_timeout", false, `a duration from "1ms" to "1h"`, func(p *Pool, v value) bool {
		return v.duration(&p.QueueTimeout, time.Millisecond, maxWaiting)
	}},
	{"longest_request", false, `a duration from "1s" to "24h"`, func(p *Pool, v value) bool {
		return v.duration(&p.LongestRequest, time.Second, maxRunning)
	}},
	{"largest_cost", false, "a whole number from 1 to 1000000000", func(p *Pool, v value) bool {
		return v.integer(&p.LargestCost, 1, maxCost)
	}},
	{"warm_up_requests", false, allowedLimit, func(p *Pool, v value) bool { return v.count(&p.WarmUpRequests, maxLimit) }},
}

var endpointFields = []field[Endpoint]{
	{"name", true, allowedName, func(e *Endpoint, v value) bool { return v.name(&e.Name) }},
	{"pool", true, allowedName, func(e *Endpoint, v value) bool { return v.name(&e.Pool) }},
	{"data_centre", true, allowedName, func(e *Endpoint, v value) bool { return v.name(&e.DataCentre) }},
	{"address", true, `an IP number and port such as "192.0.2.1:8000"`, func(e *Endpoint, v value) bool { return v.address(&e.Address) }},
	{"warm_limit", true, allowedLimit, func(e *Endpoint, v value) bool { return v.count(&e.WarmLimit, maxLimit) }},
	{"cold_limit", true, allowedLimit, func(e *Endpoint, v value) bool { return v.count(&e.ColdLimit, maxLimit) }},
	{"leaving", false, allowedFlag, func(e *Endpoint, v value) bool { return v.flag(&e.Leaving) }},
}

var routeFields = []field[Route]{
	{"path", true, `a quoted path such as "/v1/chat/completions"`, func(r *Route, v value) bool { return v.path(&r.Path) }},
	{"pool", false, allowedName, func(r *Route, v value) bool { return v.name(&r.Pool) }},
	{"idempotent", false, allowedFlag, func(r *Route, v value) bool { return v.flag(&r.Idempotent) }},
}
