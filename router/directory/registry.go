package directory

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
	"ryelug/core/rollout"
	"ryelug/core/suspect"
)

// Registry is the configuration in force where a platform registers the endpoints itself,
// in place of a configuration document.
type Registry struct {
	Generation uint64
	Version    uint64 // Version is that of Teams, Routes and Pools; a greater one is newer. Generation grows with each change of the endpoints, too.
	Teams      []config.Team
	Routes     []Route
	Pools      []Pool
	Endpoints  []Endpoint
	Entries    map[cell.HostID]string // Entries maps the host of each router to its data centre.
	FairRate   float64                // FairRate is the cost per second, in a pool of engines, that is divided evenly among the teams (max-min fairness); zero if it is unknown.
	Rollouts   []rollout.Order        // Rollouts are the orders to move a pool's requests to endpoints of another version; one for a pool at most.
	TeamHeader string                 // TeamHeader is the name of the request header that tells endpoints the team.

	RolloutBounds rollout.Bounds // RolloutBounds limits what a bad version may get.

	Suspects map[cell.ID]*suspect.Record // Suspects holds, by pool, the store's record of prompt parts that crash engines.
}

// Route maps the requests with a given Host header and path prefix to pools.
type Route struct {
	Host       string        // Host is matched without regard to case.
	Prefix     string        // Prefix is matched against the start of the path; it begins and ends with a slash.
	Targets    []Target      // Targets are the pools among which the requests are distributed by weight.
	Idempotent bool          // Idempotent says that a request may be sent again after a failed attempt.
	Streams    bool          // Streams says that answers are streams, for which Objective refers to the first event.
	Public     bool          // Public says that requests need no API key.
	MaxSends   int           // MaxSends is the most endpoints that one request may be sent to; zero means no limit.
	Timeout    time.Duration // Timeout limits the time from the arrival of a request to the end of its answer; zero means no limit.
	Gap        time.Duration // Gap is the longest acceptable pause between two events of a stream; zero means no limit.
	Objective  time.Duration // Objective is the longest acceptable time from the arrival of a request to the whole answer, or to the first event of a stream.
}

// Target is a pool that receives a part of a route's requests.
type Target struct {
	Pool   cell.ID
	Weight int // Weight is relative to the sum of the weights of the route's targets.
}

// Pool is a set of interchangeable endpoints that the platform registers.
type Pool struct {
	ID       cell.ID
	Engine   *engine.Profile // Engine describes the pool's engines; nil for plain services.
	ColdRate int             // ColdRate is the most requests per second that a cold endpoint can take; zero means no limit.
	ColdSpan time.Duration   // ColdSpan is how long an endpoint stays cold after its start.
}

// Endpoint is one registered endpoint.
type Endpoint struct {
	ID         cell.EndpointID
	Start      cell.StartID // Start identifies the present start of the endpoint's process.
	Pool       cell.ID
	DataCentre string
	Address    netip.AddrPort
	Version    string    // Version is that of the endpoint's software; empty if it is unknown.
	Slots      int       // Slots is the number of requests that the endpoint runs at once.
	Closed     bool      // Closed says that the endpoint gets no new requests, for example while it is being drained.
	ColdUntil  time.Time // ColdUntil is when the endpoint stops being cold (restricted in its rate after a start); zero if it is not cold.
}

// routeKey identifies a route by its host, in lower case, and its full prefix.
type routeKey struct{ host, prefix string }

// NewRegistered returns an index of a registry, which must not change afterwards. Endpoints whose
// pool is not in the registry are ignored.
func NewRegistered(r *Registry) *Directory {
	d := &Directory{
		Generation:       r.Generation,
		Version:          r.Version,
		teams:            make(map[string]cell.TeamID, len(r.Teams)),
		pools:            make(map[cell.ID]*config.Pool, len(r.Pools)),
		addresses:        make(map[cell.EndpointID]netip.AddrPort, len(r.Endpoints)),
		poolEndpoints:    make(map[cell.ID][]cell.EndpointID, len(r.Pools)),
		closed:           make(map[cell.EndpointID]bool),
		policies:         make(map[cell.ID]*dispatch.Policy, len(r.Pools)),
		registeredRoutes: make(map[routeKey]*Route, len(r.Routes)),
		teamHeader:       r.TeamHeader,
	}
	d.indexTeams(&config.Document{Teams: r.Teams})
	for i := range r.Routes {
		route := &r.Routes[i]
		d.registeredRoutes[routeKey{strings.ToLower(route.Host), route.Prefix}] = route
	}
	d.indexRegisteredPools(r)
	for i := range r.Rollouts {
		if policy, ok := d.policies[r.Rollouts[i].Cell]; ok {
			policy.Rollout, policy.RolloutBounds = &r.Rollouts[i], r.RolloutBounds
		}
	}
	for _, endpoint := range r.Endpoints {
		policy, ok := d.policies[endpoint.Pool]
		if !ok {
			continue
		}
		d.addresses[endpoint.ID], d.closed[endpoint.ID] = endpoint.Address, endpoint.Closed
		d.poolEndpoints[endpoint.Pool] = append(d.poolEndpoints[endpoint.Pool], endpoint.ID)
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{
			Endpoint: endpoint.ID, WarmLimit: endpoint.Slots, ColdLimit: endpoint.Slots, Closed: endpoint.Closed,
			Start: endpoint.Start, DataCentre: endpoint.DataCentre, ColdUntil: endpoint.ColdUntil,
			Version: endpoint.Version,
		})
	}
	return d
}

func (d *Directory) indexRegisteredPools(r *Registry) {
	gaps := shortestGaps(r.Routes)
	teams := teamPolicies(&config.Document{Teams: r.Teams})
	for i := range r.Pools {
		pool := &r.Pools[i]
		d.pools[pool.ID] = &config.Pool{Name: string(pool.ID), Kind: config.Service}
		policy := &dispatch.Policy{
			Teams: teams, Predicted: true, Engine: pool.Engine, ColdRate: pool.ColdRate, ColdSpan: pool.ColdSpan,
			EntryDataCentres: r.Entries, Suspects: r.Suspects[pool.ID],
		}
		if pool.Engine != nil {
			d.pools[pool.ID].Kind = config.Engine
			policy.FairRate, policy.Gap = r.FairRate, gaps[pool.ID]
		}
		d.policies[pool.ID] = policy
	}
}

// shortestGaps returns, for each pool, the shortest pause between events of a stream that one of its routes permits. Pools
// without such a limit are left out.
func shortestGaps(routes []Route) map[cell.ID]time.Duration {
	gaps := make(map[cell.ID]time.Duration)
	for i := range routes {
		for _, target := range routes[i].Targets {
			if shortest, known := gaps[target.Pool]; routes[i].Gap > 0 && (!known || routes[i].Gap < shortest) {
				gaps[target.Pool] = routes[i].Gap
			}
		}
	}
	return gaps
}

// IsRegistered reports whether a platform registers the endpoints, so that requests are routed by host and path prefix.
func (d *Directory) IsRegistered() bool { return d.registeredRoutes != nil }

// TeamHeader returns the name of the request header that tells endpoints the team. It is empty unless a platform
// registers the endpoints.
func (d *Directory) TeamHeader() string { return d.teamHeader }

// Route returns the route of the host whose prefix is the longest that matches the path, and false if there is none. The
// path may include a query.
func (d *Directory) Route(host, path string) (*Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := d.registeredRoutes[routeKey{host, path[:end+1]}]; ok {
			return route, true
		}
	}
	return nil, false
}

// Pool chooses one of a route's pools at random, in proportion to their weights, and reports whether it is a pool of
// engines. It returns ok false if the sum of the weights is not positive or the chosen pool is unknown.
func (d *Directory) Pool(route *Route) (id cell.ID, isEngine, ok bool) {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return "", false, false
	}
	drawn := rand.IntN(total)
	for _, target := range route.Targets {
		if drawn -= target.Weight; drawn < 0 {
			pool, known := d.pools[target.Pool]
			return target.Pool, known && pool.Kind == config.Engine, known
		}
	}
	return "", false, false
}

// KeyHash returns the SHA-256 hash of an API key in hexadecimal, which is the form in which a Directory stores keys.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
