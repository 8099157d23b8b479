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

// chatPath is the route whose body names a model.
const chatPath = "/v1/chat/completions"

// Directory answers look-ups in one adopted generation of the configuration.
// It is never changed, so many goroutines may use it.
type Directory struct {
	Generation uint64
	teams      map[string]cell.TeamID // Teams by the hash of a key.
	models     map[string]*config.Pool
	pools      map[cell.ID]*config.Pool
	routes     map[string]*config.Route
	addresses  map[cell.EndpointID]netip.AddrPort
	members    map[cell.ID][]cell.EndpointID
	policies   map[cell.ID]*dispatch.Policy
	registered map[routeKey]*Route // registered is nil unless a platform registers the endpoints.
	teamHeader string
}

// New indexes a document.
func New(generation uint64, doc *config.Document) *Directory {
	d := &Directory{
		Generation: generation,
		teams:      make(map[string]cell.TeamID, len(doc.Teams)),
		models:     make(map[string]*config.Pool, len(doc.Pools)),
		pools:      make(map[cell.ID]*config.Pool, len(doc.Pools)),
		routes:     make(map[string]*config.Route, len(doc.Routes)),
		addresses:  make(map[cell.EndpointID]netip.AddrPort, len(doc.Endpoints)),
		members:    make(map[cell.ID][]cell.EndpointID, len(doc.Pools)),
		policies:   make(map[cell.ID]*dispatch.Policy, len(doc.Pools)),
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
	out := make(map[string]bool, len(doc.DataCentres))
	for _, dc := range doc.DataCentres {
		out[dc.Name] = dc.Out
	}
	for _, endpoint := range doc.Endpoints {
		id := cell.EndpointID(endpoint.Name)
		pool := cell.ID(endpoint.Pool)
		d.addresses[id] = endpoint.Address
		d.members[pool] = append(d.members[pool], id)
		policy, ok := d.policies[pool]
		if !ok {
			continue
		}
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{
			Endpoint:  id,
			WarmLimit: endpoint.WarmLimit,
			ColdLimit: endpoint.ColdLimit,
			Closed:    endpoint.Leaving || out[endpoint.DataCentre],
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

// Team returns the team that the key belongs to.
func (d *Directory) Team(key string) (cell.TeamID, bool) {
	team, ok := d.teams[KeyHash(key)]
	return team, ok
}

// Lookup is what decides the route of a request.
type Lookup struct {
	Method    string
	Path      string // Path may hold a query.
	Model     string // Model is what the body names.
	Malformed bool   // Malformed tells that the body can't be read.
}

// Find returns the pool of a request and whether the route is idempotent, or the code of its refusal.
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

// Address returns where an endpoint listens.
func (d *Directory) Address(endpoint cell.EndpointID) netip.AddrPort { return d.addresses[endpoint] }

// Endpoints returns the endpoints of a cell.
func (d *Directory) Endpoints(id cell.ID) []cell.EndpointID { return d.members[id] }

// Policy returns what the dispatcher of a cell must know; that of a cell that is gone takes no work.
func (d *Directory) Policy(id cell.ID) *dispatch.Policy {
	if policy, ok := d.policies[id]; ok {
		return policy
	}
	return &dispatch.Policy{}
}

// Cells returns the cells, in no particular order.
func (d *Directory) Cells() []cell.ID {
	cells := make([]cell.ID, 0, len(d.pools))
	for id := range d.pools {
		cells = append(cells, id)
	}
	return cells
}
