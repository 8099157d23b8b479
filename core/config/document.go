package config

import (
	"net/netip"
	"time"
)

// Document is the whole declared state of one environment.
type Document struct {
	Environment string       `toml:"environment"`
	Teams       []Team       `toml:"teams"`
	DataCentres []DataCentre `toml:"data_centres"`
	Pools       []Pool       `toml:"pools"`
	Endpoints   []Endpoint   `toml:"endpoints"`
	Routes      []Route      `toml:"routes"`
}

// Team is a group of callers with one share of the capacity.
type Team struct {
	Name      string   `toml:"name"`
	Share     int      `toml:"share"`      // Share is the team's weight, 1 to 1,000,000.
	KeyHashes []string `toml:"key_hashes"` // KeyHashes are SHA-256 hashes of the team's keys, in lower-case hex.
}

// DataCentre is a place whose endpoints operators take out and return together.
type DataCentre struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Out    bool   `toml:"out"`
}

// PoolKind says what the endpoints of a pool are.
type PoolKind string

// Kinds of pools.
const (
	Engine  PoolKind = "engine"  // Engine endpoints stream answers, resume and cancel.
	Service PoolKind = "service" // Service endpoints answer plain calls.
)

// Pool is a set of like endpoints.
type Pool struct {
	Name           string        `toml:"name"`
	Kind           PoolKind      `toml:"kind"`
	Model          string        `toml:"model"`            // Model is the model that an engine pool serves.
	QueueLimit     int           `toml:"queue_limit"`      // QueueLimit bounds the requests that wait, a team.
	QueueTimeout   time.Duration `toml:"queue_timeout"`    // QueueTimeout bounds the wait for a grant.
	LongestRequest time.Duration `toml:"longest_request"`  // LongestRequest bounds an attempt at an endpoint.
	LargestCost    int64         `toml:"largest_cost"`     // LargestCost bounds the cost units of a request.
	WarmUpRequests int           `toml:"warm_up_requests"` // WarmUpRequests is the completed work that makes a cold endpoint warm.
}

// Endpoint is one model engine or plain service.
type Endpoint struct {
	Name       string         `toml:"name"`
	Pool       string         `toml:"pool"`
	DataCentre string         `toml:"data_centre"`
	Address    netip.AddrPort `toml:"address"`
	WarmLimit  int            `toml:"warm_limit"` // WarmLimit bounds requests in flight at a warm endpoint.
	ColdLimit  int            `toml:"cold_limit"` // ColdLimit bounds requests in flight during a cold start.
	Leaving    bool           `toml:"leaving"`
}

// Route maps a path to a pool.
type Route struct {
	Path       string `toml:"path"`
	Pool       string `toml:"pool"` // Pool is empty for routes whose body names the model.
	Idempotent bool   `toml:"idempotent"`
}
