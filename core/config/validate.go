package config

import (
	"cmp"
	"time"
)

// Defaults for the keys of a pool that the document leaves out.
const (
	DefaultQueueLimit     = 100
	DefaultQueueTimeout   = 30 * time.Second
	DefaultLongestRequest = 5 * time.Minute
	DefaultLargestCost    = 8192
	DefaultWarmUpRequests = 20
)

func (d *Document) setDefaults() {
	for i := range d.Pools {
		p := &d.Pools[i]
		p.QueueLimit = cmp.Or(p.QueueLimit, DefaultQueueLimit)
		p.QueueTimeout = cmp.Or(p.QueueTimeout, DefaultQueueTimeout)
		p.LongestRequest = cmp.Or(p.LongestRequest, DefaultLongestRequest)
		p.LargestCost = cmp.Or(p.LargestCost, DefaultLargestCost)
		p.WarmUpRequests = cmp.Or(p.WarmUpRequests, DefaultWarmUpRequests)
	}
}

// validate checks rules that span several keys, such as duplicate names and references to unknown names.
func (r *reader) validate() {
	d := r.document
	r.checkUnique(teamsTable, "name", len(d.Teams), func(i int) string { return d.Teams[i].Name })
	r.checkUnique(dataCentresTable, "name", len(d.DataCentres), func(i int) string { return d.DataCentres[i].Name })
	r.checkUnique(poolsTable, "name", len(d.Pools), func(i int) string { return d.Pools[i].Name })
	r.checkUnique(poolsTable, "model", len(d.Pools), func(i int) string { return d.Pools[i].Model })
	r.checkUnique(endpointsTable, "name", len(d.Endpoints), func(i int) string { return d.Endpoints[i].Name })
	r.checkUnique(endpointsTable, "address", len(d.Endpoints), func(i int) string { return addressText(d.Endpoints[i]) })
	r.checkUnique(routesTable, "path", len(d.Routes), func(i int) string { return d.Routes[i].Path })
	r.validateKeyHashes()
	r.validatePools()
	r.validateEndpoints()
	r.validateRoutes()
}

func addressText(e Endpoint) string {
	if !e.Address.IsValid() {
		return ""
	}
	return e.Address.String()
}

// checkUnique reports each item whose text repeats that of an earlier item; empty texts are ignored.
func (r *reader) checkUnique(table, key string, count int, text func(i int) string) {
	seen := make(map[string]bool, count)
	for i := range count {
		one := text(i)
		if one != "" && seen[one] {
			r.FailAt(table, i, key, "a "+key+" that no other of the "+table+" has")
		}
		seen[one] = true
	}
}

func (r *reader) validateKeyHashes() {
	owner := make(map[string]int, len(r.document.Teams))
	for i, team := range r.document.Teams {
		for _, hash := range team.KeyHashes {
			if _, used := owner[hash]; used {
				r.FailAt(teamsTable, i, "key_hashes", "hashes that stand once in the document")
				break
			}
			owner[hash] = i
		}
	}
}

func (r *reader) validatePools() {
	for i, pool := range r.document.Pools {
		switch {
		case pool.Kind == Engine && pool.Model == "":
			r.FailAt(poolsTable, i, "model", "the model that this engine pool serves")
		case pool.Kind == Service && pool.Model != "":
			r.FailAt(poolsTable, i, "model", "no model in a service pool")
		}
	}
}

func (r *reader) validateEndpoints() {
	pools := r.document.poolIndex()
	centres := make(map[string]bool, len(r.document.DataCentres))
	for _, centre := range r.document.DataCentres {
		centres[centre.Name] = true
	}
	for i, e := range r.document.Endpoints {
		if _, found := pools[e.Pool]; !found && e.Pool != "" {
			r.FailAt(endpointsTable, i, "pool", "the name of one of the pools")
		}
		if !centres[e.DataCentre] && e.DataCentre != "" {
			r.FailAt(endpointsTable, i, "data_centre", "the name of one of the data_centres")
		}
		if e.ColdLimit > e.WarmLimit && e.WarmLimit > 0 {
			r.FailAt(endpointsTable, i, "cold_limit", "at most the endpoint's warm_limit")
		}
	}
}

func (r *reader) validateRoutes() {
	pools := r.document.poolIndex()
	for i, route := range r.document.Routes {
		if route.Pool == "" {
			continue
		}
		if _, found := pools[route.Pool]; !found {
			r.FailAt(routesTable, i, "pool", "the name of one of the pools, or no pool where the body names the model")
		}
	}
}

func (d *Document) poolIndex() map[string]int {
	index := make(map[string]int, len(d.Pools))
	for i, pool := range d.Pools {
		index[pool.Name] = i
	}
	return index
}
