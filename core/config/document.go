package config

import (
	"net/netip"
	"time"
)

// Document is the complete configuration of one environment.
type Document struct {
	Environment string       `toml:"environment"`
	Teams       []Team       `toml:"teams"`
	DataCentres []DataCentre `toml:"data_centres"`
	Pools       []Pool       `toml:"pools"`
	Endpoints   []Endpoint   `toml:"endpoints"`
	Routes      []Route      `toml:"routes"`
}

// Team is a group of callers that has one share of the capacity.
type Team struct {
	Name      string   `toml:"name"`
	Share     int      `toml:"share"`      // Share is the team's weight in fair queueing, from 1 to 1,000,000.
	KeyHashes []string `toml:"key_hashes"` // KeyHashes are the SHA-256 hashes of the team's API keys, in lower-case hex.
}

// DataCentre is a place whose endpoints operators take out of service and return together.
type DataCentre struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Out    bool   `toml:"out"`
}

// PoolKind is the kind of endpoints in a pool.
type PoolKind string

// Kinds of pools.
const (
	Engine  PoolKind = "engine"  // Engine is a pool of model engines: they stream answers, resume broken streams and cancel requests.
	Service PoolKind = "service" // Service is a pool of plain services: each request gets one answer.
)

// Pool is a set of interchangeable endpoints; zero limits are replaced by the defaults.
type Pool struct {
	Name           string        `toml:"name"`
	Kind           PoolKind      `toml:"kind"`
	Model          string        `toml:"model"`            // Model is the model that an engine pool serves; it is empty for a service pool.
	QueueLimit     int           `toml:"queue_limit"`      // QueueLimit is the maximum number of queued requests per team.
	QueueTimeout   time.Duration `toml:"queue_timeout"`    // QueueTimeout is the longest time that a request waits for a grant, the permission to be sent to an endpoint.
	LongestRequest time.Duration `toml:"longest_request"`  // LongestRequest is the longest time that one attempt at an endpoint may take.
	LargestCost    int64         `toml:"largest_cost"`     // LargestCost is the maximum cost of a request, in cost units.
	WarmUpRequests int           `toml:"warm_up_requests"` // WarmUpRequests is the number of completed requests after which a cold endpoint counts as warm.
}

// Endpoint is a server of a pool: a model engine or a plain service.
type Endpoint struct {
	Name       string         `toml:"name"`
	Pool       string         `toml:"pool"`
	DataCentre string         `toml:"data_centre"`
	Address    netip.AddrPort `toml:"address"`
	WarmLimit  int            `toml:"warm_limit"` // WarmLimit is the maximum number of requests in flight at a warm endpoint.
	ColdLimit  int            `toml:"cold_limit"` // ColdLimit is the maximum number of requests in flight at an endpoint that is still warming up.
	Leaving    bool           `toml:"leaving"`
}

// Route maps a request path to a pool.
type Route struct {
	Path       string `toml:"path"`
	Pool       string `toml:"pool"` // Pool is empty if the model named in the request body selects the pool.
	Idempotent bool   `toml:"idempotent"`
}
