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
)

// Registry is what is in force where a platform registers the endpoints itself.
type Registry struct {
	Generation uint64
	Teams      []config.Team
	Routes     []Route
	Pools      []Pool
	Endpoints  []Endpoint
	Entries    map[cell.HostID]string // Entries says in which data centre each router is.
	FairRate   float64                // FairRate is the cost a second that teams share evenly; zero when it is unknown.
	TeamHeader string                 // TeamHeader tells endpoints the team.
}

// Route maps the requests for a host and a path's beginning to pools.
type Route struct {
	Host       string
	Prefix     string   // Prefix begins and ends with a slash.
	Targets    []Target // Targets share the requests by weight.
	Idempotent bool
	Streams    bool // Streams tells that answers are streams whose first event counts.
	Public     bool // Public routes need no key.
	MaxSends   int  // MaxSends bounds the endpoints that one request is sent to.
	Timeout    time.Duration
	Gap        time.Duration // Gap is the longest pause between events of a stream that is on time; zero is no limit.
	Objective  time.Duration // Objective is the time in which an answer, or the first event of it, is on time.
}

// Target is a pool that gets a part of a route's requests.
type Target struct {
	Pool   cell.ID
	Weight int
}

// Pool is a set of like endpoints that the platform registers.
type Pool struct {
	ID       cell.ID
	Engine   *engine.Profile // Engine is nil for plain services.
	ColdRate int             // ColdRate is the most requests that a cold endpoint bears in a second; zero is no limit.
	ColdSpan time.Duration
}

// Endpoint is one registered endpoint.
type Endpoint struct {
	ID         cell.EndpointID
	Start      cell.StartID
	Pool       cell.ID
	DataCentre string
	Address    netip.AddrPort
	Slots      int
	Closed     bool
	ColdUntil  time.Time
}

// routeKey finds a route by the whole of its prefix.
type routeKey struct{ host, prefix string }

// NewRegistered indexes what a platform registers.
func NewRegistered(r *Registry) *Directory {
	d := &Directory{
		Generation: r.Generation,
		teams:      make(map[string]cell.TeamID, len(r.Teams)),
		pools:      make(map[cell.ID]*config.Pool, len(r.Pools)),
		addresses:  make(map[cell.EndpointID]netip.AddrPort, len(r.Endpoints)),
		members:    make(map[cell.ID][]cell.EndpointID, len(r.Pools)),
		policies:   make(map[cell.ID]*dispatch.Policy, len(r.Pools)),
		registered: make(map[routeKey]*Route, len(r.Routes)),
		teamHeader: r.TeamHeader,
	}
	d.indexTeams(&config.Document{Teams: r.Teams})
	for i := range r.Routes {
		route := &r.Routes[i]
		d.registered[routeKey{strings.ToLower(route.Host), route.Prefix}] = route
	}
	d.indexRegisteredPools(r)
	for _, at := range r.Endpoints {
		policy, ok := d.policies[at.Pool]
		if !ok {
			continue
		}
		d.addresses[at.ID] = at.Address
		d.members[at.Pool] = append(d.members[at.Pool], at.ID)
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{
			Endpoint: at.ID, WarmLimit: at.Slots, ColdLimit: at.Slots, Closed: at.Closed,
			Start: at.Start, DataCentre: at.DataCentre, ColdUntil: at.ColdUntil,
		})
	}
	return d
}

func (d *Directory) indexRegisteredPools(r *Registry) {
	gaps := leastGaps(r.Routes)
	teams := teamPolicies(&config.Document{Teams: r.Teams})
	for i := range r.Pools {
		pool := &r.Pools[i]
		d.pools[pool.ID] = &config.Pool{Name: string(pool.ID), Kind: config.Service}
		policy := &dispatch.Policy{
			Teams: teams, Predicted: true, Engine: pool.Engine, ColdRate: pool.ColdRate, ColdSpan: pool.ColdSpan,
			EntryDataCentres: r.Entries,
		}
		if pool.Engine != nil {
			d.pools[pool.ID].Kind = config.Engine
			policy.FairRate, policy.Gap = r.FairRate, gaps[pool.ID]
		}
		d.policies[pool.ID] = policy
	}
}

// leastGaps returns the shortest pause between events that a route of each pool allows.
func leastGaps(routes []Route) map[cell.ID]time.Duration {
	gaps := make(map[cell.ID]time.Duration)
	for i := range routes {
		for _, target := range routes[i].Targets {
			if least, known := gaps[target.Pool]; routes[i].Gap > 0 && (!known || routes[i].Gap < least) {
				gaps[target.Pool] = routes[i].Gap
			}
		}
	}
	return gaps
}

// IsRegistered tells whether a platform registers the endpoints, and routes go by host and prefix.
func (d *Directory) IsRegistered() bool { return d.registered != nil }

// TeamHeader returns the name of the header field that tells endpoints the team.
func (d *Directory) TeamHeader() string { return d.teamHeader }

// Route returns the route of the longest prefix that begins the path, among those of the host.
func (d *Directory) Route(host, path string) (*Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := d.registered[routeKey{host, path[:end+1]}]; ok {
			return route, true
		}
	}
	return nil, false
}

// Pool draws one of a route's pools by their weights; ok is false if none has a weight.
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

// KeyHash returns the form in which a directory holds a key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
