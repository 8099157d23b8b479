package config

import (
	"encoding/hex"
	"strings"
	"time"

	"ryelug/core/toml"
)

const (
	keyHashLength = 32  // keyHashLength is the size of a SHA-256 hash in bytes.
	maxKeyHashes  = 100 // maxKeyHashes bounds the keys of a team.

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

func required[T any](name, allowed string, set func(*T, toml.Value) bool) toml.Field[T] {
	return toml.Field[T]{Name: name, Required: true, Allowed: allowed, Set: set}
}

func byDefault[T any](name, allowed string, set func(*T, toml.Value) bool) toml.Field[T] {
	return toml.Field[T]{Name: name, Allowed: allowed, Set: set}
}

var documentFields = []toml.Field[Document]{
	required("environment", allowedName, func(d *Document, v toml.Value) bool { return v.Name(&d.Environment) }),
}

var teamFields = []toml.Field[Team]{
	required("name", allowedName, func(t *Team, v toml.Value) bool { return v.Name(&t.Name) }),
	required("share", "a whole number from 1 to 1000000", func(t *Team, v toml.Value) bool { return v.Count(&t.Share, maxShare) }),
	byDefault("key_hashes", allowedHashes, func(t *Team, v toml.Value) bool { return areHashes(v, &t.KeyHashes) }),
}

var dataCentreFields = []toml.Field[DataCentre]{
	required("name", allowedName, func(c *DataCentre, v toml.Value) bool { return v.Name(&c.Name) }),
	required("region", allowedName, func(c *DataCentre, v toml.Value) bool { return v.Name(&c.Region) }),
	byDefault("out", allowedFlag, func(c *DataCentre, v toml.Value) bool { return v.Flag(&c.Out) }),
}

var poolFields = []toml.Field[Pool]{
	required("name", allowedName, func(p *Pool, v toml.Value) bool { return v.Name(&p.Name) }),
	required("kind", `"engine" or "service"`, func(p *Pool, v toml.Value) bool { return isKind(v, &p.Kind) }),
	byDefault("model", allowedText, func(p *Pool, v toml.Value) bool { return v.Printable(&p.Model) }),
	byDefault("queue_limit", "a whole number from 1 to 1000000", func(p *Pool, v toml.Value) bool {
		return v.Count(&p.QueueLimit, maxQueue)
	}),
	byDefault("queue_timeout", `a duration from "1ms" to "1h"`, func(p *Pool, v toml.Value) bool {
		return v.Duration(&p.QueueTimeout, time.Millisecond, maxWaiting)
	}),
	byDefault("longest_request", `a duration from "1s" to "24h"`, func(p *Pool, v toml.Value) bool {
		return v.Duration(&p.LongestRequest, time.Second, maxRunning)
	}),
	byDefault("largest_cost", "a whole number from 1 to 1000000000", func(p *Pool, v toml.Value) bool {
		return v.Integer(&p.LargestCost, 1, maxCost)
	}),
	byDefault("warm_up_requests", allowedLimit, func(p *Pool, v toml.Value) bool { return v.Count(&p.WarmUpRequests, maxLimit) }),
}

var endpointFields = []toml.Field[Endpoint]{
	required("name", allowedName, func(e *Endpoint, v toml.Value) bool { return v.Name(&e.Name) }),
	required("pool", allowedName, func(e *Endpoint, v toml.Value) bool { return v.Name(&e.Pool) }),
	required("data_centre", allowedName, func(e *Endpoint, v toml.Value) bool { return v.Name(&e.DataCentre) }),
	required("address", `an IP number and port such as "192.0.2.1:8000"`, func(e *Endpoint, v toml.Value) bool { return v.Address(&e.Address) }),
	required("warm_limit", allowedLimit, func(e *Endpoint, v toml.Value) bool { return v.Count(&e.WarmLimit, maxLimit) }),
	required("cold_limit", allowedLimit, func(e *Endpoint, v toml.Value) bool { return v.Count(&e.ColdLimit, maxLimit) }),
	byDefault("leaving", allowedFlag, func(e *Endpoint, v toml.Value) bool { return v.Flag(&e.Leaving) }),
}

var routeFields = []toml.Field[Route]{
	required("path", `a quoted path such as "/v1/chat/completions"`, func(r *Route, v toml.Value) bool { return isPath(v, &r.Path) }),
	byDefault("pool", allowedName, func(r *Route, v toml.Value) bool { return v.Name(&r.Pool) }),
	byDefault("idempotent", allowedFlag, func(r *Route, v toml.Value) bool { return v.Flag(&r.Idempotent) }),
}

func isKind(v toml.Value, to *PoolKind) bool {
	var text string
	ok := v.Text(&text)
	*to = PoolKind(text)
	return ok && (*to == Engine || *to == Service)
}

func isPath(v toml.Value, to *string) bool {
	return v.Printable(to) && strings.HasPrefix(*to, "/") && !strings.ContainsAny(*to, "?#")
}

func areHashes(v toml.Value, to *[]string) bool {
	if !v.Texts(to) || len(*to) > maxKeyHashes {
		return false
	}
	for _, text := range *to {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != keyHashLength || strings.ToLower(text) != text {
			return false
		}
	}
	return true
}
