package router

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/dispatch"
)

// directory answers look-ups in one adopted generation of the configuration.
// It is never changed once it is published.
type directory struct {
	generation uint64
	teams      map[string]cell.TeamID // Teams by the hash of a key.
	models     map[string]*config.Pool
	pools      map[cell.ID]*config.Pool
	routes     map[string]*config.Route
	addresses  map[cell.EndpointID]netip.AddrPort
	members    map[cell.ID][]cell.EndpointID
	policies   map[cell.ID]*dispatch.Policy
}

// newDirectory indexes doc.
func newDirectory(generation uint64, doc *config.Document) *directory {
	d := &directory{
		generation: generation,
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

func (d *directory) indexTeams(doc *config.Document) {
	for _, team := range doc.Teams {
		for _, hash := range team.KeyHashes {
			d.teams[hash] = cell.TeamID(team.Name)
		}
	}
}

func (d *directory) indexPools(doc *config.Document) {
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

func (d *directory) indexEndpoints(doc *config.Document) {
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

// team returns the team that the key belongs to.
func (d *directory) team(key string) (cell.TeamID, bool) {
	sum := sha256.Sum256([]byte(key))
	team, ok := d.teams[hex.EncodeToString(sum[:])]
	return team, ok
}
