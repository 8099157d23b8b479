package directory

import (
	"net/http"
	"net/netip"
	"strings"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/dispatch"
	"ryelug/core/result"
)

// chatPath is a route that exists even if the configuration does not declare it; the body of a request names the model.
const chatPath = "/v1/chat/completions"

// Directory is an index of one generation of the configuration. It is immutable and safe for concurrent use.
type Directory struct {
	Generation       uint64
	Version          uint64                  // Version is that of the teams and routes; a greater one is newer.
	teams            map[string]cell.TeamID  // teams maps the hash of an API key to the team that owns it.
	models           map[string]*config.Pool // models maps the name of a model to the pool that serves it.
	pools            map[cell.ID]*config.Pool
	routes           map[string]*config.Route // routes maps a path to its route.
	addresses        map[cell.EndpointID]netip.AddrPort
	poolEndpoints    map[cell.ID][]cell.EndpointID // poolEndpoints maps a cell to its endpoints.
	closed           map[cell.EndpointID]bool      // closed holds the endpoints that get no new work.
	policies         map[cell.ID]*dispatch.Policy
	registeredRoutes map[routeKey]*Route // registeredRoutes holds the routes if a platform registers the endpoints; nil otherwise.
	teamHeader       string              // teamHeader is the name of the request header that tells endpoints the team.
}

// New returns an index of a configuration document, which must not change afterwards.
func New(generation uint64, doc *config.Document) *Directory {
	d := &Directory{
		Generation:    generation,
		Version:       generation,
		teams:         make(map[string]cell.TeamID, len(doc.Teams)),
		models:        make(map[string]*config.Pool, len(doc.Pools)),
		pools:         make(map[cell.ID]*config.Pool, len(doc.Pools)),
		routes:        make(map[string]*config.Route, len(doc.Routes)),
		addresses:     make(map[cell.EndpointID]netip.AddrPort, len(doc.Endpoints)),
		poolEndpoints: make(map[cell.ID][]cell.EndpointID, len(doc.Pools)),
		closed:        make(map[cell.EndpointID]bool),
		policies:      make(map[cell.ID]*dispatch.Policy, len(doc.Pools)),
	}
	d.indexTeams(doc)
	d.indexPools(doc)
	d.indexEndpoints(doc)
	return d
}

func (d *Directory) indexTeams(doc *config.Document) {
	for _, team := range doc.Teams {
		for _, hash := range team.KeyHashes {
			d.teams[hash] = cell.TeamID(team.Name)
		}
	}
}

func (d *Directory) indexPools(doc *config.Document) {
	teams := teamPolicies(doc)
	for i := range doc.Pools {
		pool := &doc.Pools[i]
		id := cell.ID(pool.Name)
		d.pools[id] = pool
		if pool.Model != "" {
			d.models[pool.Model] = pool
		}
		d.policies[id] = &dispatch.Policy{
			Teams:          teams,
			QueueLimit:     pool.QueueLimit,
			QueueTimeout:   pool.QueueTimeout,
			LongestRequest: pool.LongestRequest,
			LargestCost:    cell.Cost(pool.LargestCost),
			WarmUpRequests: pool.WarmUpRequests,
		}
	}
	for i := range doc.Routes {
		route := &doc.Routes[i]
		d.routes[route.Path] = route
	}
}

func (d *Directory) indexEndpoints(doc *config.Document) {
	isOut := make(map[string]bool, len(doc.DataCentres))
	for _, dc := range doc.DataCentres {
		isOut[dc.Name] = dc.Out
	}
	for _, endpoint := range doc.Endpoints {
		id := cell.EndpointID(endpoint.Name)
		pool := cell.ID(endpoint.Pool)
		d.addresses[id] = endpoint.Address
		d.poolEndpoints[pool] = append(d.poolEndpoints[pool], id)
		policy, ok := d.policies[pool]
		if !ok {
			continue
		}
		d.closed[id] = endpoint.Leaving || isOut[endpoint.DataCentre]
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{
			Endpoint:  id,
			WarmLimit: endpoint.WarmLimit,
			ColdLimit: endpoint.ColdLimit,
			Closed:    d.closed[id],
		})
	}
}

func teamPolicies(doc *config.Document) []dispatch.TeamPolicy {
	teams := make([]dispatch.TeamPolicy, 0, len(doc.Teams))
	for _, team := range doc.Teams {
		teams = append(teams, dispatch.TeamPolicy{Team: cell.TeamID(team.Name), Share: team.Share})
	}
	return teams
}

// Team returns the team that owns an API key, and false if no team does.
func (d *Directory) Team(key string) (cell.TeamID, bool) {
	team, ok := d.teams[KeyHash(key)]
	return team, ok
}

// Lookup holds the properties of a request that decide its route.
type Lookup struct {
	Method    string
	Path      string // Path may include a query.
	Model     string // Model is the model that the body names.
	Malformed bool   // Malformed says that the body can't be parsed.
}

// Find returns the pool that serves a request, and whether its route is idempotent (a request may be sent again after
// a failed attempt). The code is result.OK, or says why no pool serves the request: result.UnknownRoute,
// result.BadRequest or result.UnknownModel. Where IsRegistered is true, Route and Pool are used instead.
func (d *Directory) Find(req Lookup) (pool *config.Pool, idempotent bool, code result.Code) {
	path, _, _ := strings.Cut(req.Path, "?")
	route, declared := d.routes[path]
	if declared && route.Pool != "" {
		return d.pools[cell.ID(route.Pool)], route.Idempotent, result.OK
	}
	if !declared && path != chatPath {
		return nil, false, result.UnknownRoute
	}
	if req.Method != http.MethodPost {
		return nil, false, result.UnknownRoute
	}
	if req.Malformed {
		return nil, false, result.BadRequest
	}
	pool, ok := d.models[req.Model]
	if !ok {
		return nil, false, result.UnknownModel
	}
	return pool, !declared || route.Idempotent, result.OK
}

// Address returns the address and port of an endpoint; it is invalid if the endpoint is unknown.
func (d *Directory) Address(endpoint cell.EndpointID) netip.AddrPort { return d.addresses[endpoint] }

// IsClosed reports whether an endpoint gets no new work, because it is leaving or its data centre is out. An unknown endpoint
// is not closed.
func (d *Directory) IsClosed(endpoint cell.EndpointID) bool { return d.closed[endpoint] }

// Endpoints returns the endpoints of a cell, or nil if the cell is unknown. The caller must not change the slice.
func (d *Directory) Endpoints(id cell.ID) []cell.EndpointID { return d.poolEndpoints[id] }

// Policy returns the settings for the dispatcher of a cell, which must not be changed. An unknown cell gets an
// empty policy, under which no requests are granted.
func (d *Directory) Policy(id cell.ID) *dispatch.Policy {
	if policy, ok := d.policies[id]; ok {
		return policy
	}
	return &dispatch.Policy{}
}

// Cells returns all cells, in no particular order.
func (d *Directory) Cells() []cell.ID {
	cells := make([]cell.ID, 0, len(d.pools))
	for id := range d.pools {
		cells = append(cells, id)
	}
	return cells
}
