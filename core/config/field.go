package config

import (
	"encoding/hex"
	"strings"
	"time"

	"ryelug/core/toml"
)

const (
	keyHashLength = 32  // keyHashLength is the length of a SHA-256 hash, in bytes.
	maxKeyHashes  = 100 // maxKeyHashes is the maximum number of keys of a team.

	maxShare          = 1_000_000
	maxLimit          = 100_000
	maxQueueLimit     = 1_000_000
	maxCost           = 1_000_000_000
	maxQueueTimeout   = time.Hour
	maxLongestRequest = 24 * time.Hour // maxLongestRequest is the upper limit of Pool.LongestRequest.
)

const (
	allowedName   = "a quoted name of 1 to 63 letters, digits, dots, hyphens and underscores, a letter or digit first"
	allowedText   = "a quoted text of 1 to 200 printable characters without spaces"
	allowedFlag   = "true or false"
	allowedHashes = "a list of at most 100 SHA-256 hashes, each of 64 lower-case hex digits in quotes"
	allowedLimit  = "a whole number from 1 to 100000"
)

func requiredField[T any](name, allowed string, set func(*T, toml.Value) bool) toml.Field[T] {
	return toml.Field[T]{Name: name, Required: true, Allowed: allowed, Set: set}
}

func optionalField[T any](name, allowed string, set func(*T, toml.Value) bool) toml.Field[T] {
	return toml.Field[T]{Name: name, Allowed: allowed, Set: set}
}

var documentFields = []toml.Field[Document]{
	requiredField("environment", allowedName, func(d *Document, v toml.Value) bool { return v.Name(&d.Environment) }),
}

var teamFields = []toml.Field[Team]{
	requiredField("name", allowedName, func(t *Team, v toml.Value) bool { return v.Name(&t.Name) }),
	requiredField("share", "a whole number from 1 to 1000000", func(t *Team, v toml.Value) bool { return v.Count(&t.Share, maxShare) }),
	optionalField("key_hashes", allowedHashes, func(t *Team, v toml.Value) bool { return setKeyHashes(v, &t.KeyHashes) }),
}

var dataCentreFields = []toml.Field[DataCentre]{
	requiredField("name", allowedName, func(c *DataCentre, v toml.Value) bool { return v.Name(&c.Name) }),
	requiredField("region", allowedName, func(c *DataCentre, v toml.Value) bool { return v.Name(&c.Region) }),
	optionalField("out", allowedFlag, func(c *DataCentre, v toml.Value) bool { return v.Flag(&c.Out) }),
}

var poolFields = []toml.Field[Pool]{
	requiredField("name", allowedName, func(p *Pool, v toml.Value) bool { return v.Name(&p.Name) }),
	requiredField("kind", `"engine" or "service"`, func(p *Pool, v toml.Value) bool { return setKind(v, &p.Kind) }),
	optionalField("model", allowedText, func(p *Pool, v toml.Value) bool { return v.Printable(&p.Model) }),
	optionalField("queue_limit", "a whole number from 1 to 1000000", func(p *Pool, v toml.Value) bool {
		return v.Count(&p.QueueLimit, maxQueueLimit)
	}),
	optionalField("queue_timeout", `a duration from "1ms" to "1h"`, func(p *Pool, v toml.Value) bool {
		return v.Duration(&p.QueueTimeout, time.Millisecond, maxQueueTimeout)
	}),
	optionalField("longest_request", `a duration from "1s" to "24h"`, func(p *Pool, v toml.Value) bool {
		return v.Duration(&p.LongestRequest, time.Second, maxLongestRequest)
	}),
	optionalField("largest_cost", "a whole number from 1 to 1000000000", func(p *Pool, v toml.Value) bool {
		return v.Integer(&p.LargestCost, 1, maxCost)
	}),
	optionalField("warm_up_requests", allowedLimit, func(p *Pool, v toml.Value) bool { return v.Count(&p.WarmUpRequests, maxLimit) }),
}

var endpointFields = []toml.Field[Endpoint]{
	requiredField("name", allowedName, func(e *Endpoint, v toml.Value) bool { return v.Name(&e.Name) }),
	requiredField("pool", allowedName, func(e *Endpoint, v toml.Value) bool { return v.Name(&e.Pool) }),
	requiredField("data_centre", allowedName, func(e *Endpoint, v toml.Value) bool { return v.Name(&e.DataCentre) }),
	requiredField("address", `an IP number and port such as "192.0.2.1:8000"`, func(e *Endpoint, v toml.Value) bool { return v.Address(&e.Address) }),
	requiredField("warm_limit", allowedLimit, func(e *Endpoint, v toml.Value) bool { return v.Count(&e.WarmLimit, maxLimit) }),
	requiredField("cold_limit", allowedLimit, func(e *Endpoint, v toml.Value) bool { return v.Count(&e.ColdLimit, maxLimit) }),
	optionalField("leaving", allowedFlag, func(e *Endpoint, v toml.Value) bool { return v.Flag(&e.Leaving) }),
}

var routeFields = []toml.Field[Route]{
	requiredField("path", `a quoted path such as "/v1/chat/completions"`, func(r *Route, v toml.Value) bool { return setPath(v, &r.Path) }),
	optionalField("pool", allowedName, func(r *Route, v toml.Value) bool { return v.Name(&r.Pool) }),
	optionalField("idempotent", allowedFlag, func(r *Route, v toml.Value) bool { return v.Flag(&r.Idempotent) }),
}

func setKind(v toml.Value, to *PoolKind) bool {
	var text string
	ok := v.Text(&text)
	*to = PoolKind(text)
	return ok && (*to == Engine || *to == Service)
}

func setPath(v toml.Value, to *string) bool {
	return v.Printable(to) && strings.HasPrefix(*to, "/") && !strings.ContainsAny(*to, "?#")
}

func setKeyHashes(v toml.Value, to *[]string) bool {
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
