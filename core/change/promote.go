package change

import (
	"slices"

	"ryelug/core/config"
)

// Promotion is the result of promoting policy to another environment.
type Promotion struct {
	Document *config.Document // The promoted document.
	Notes    []string         // Points for the operator to check.
}

// Promote applies the policy of one environment to the document of another. It returns an error if the
// result is not a valid document.
//
// Taken from the policy document: all pools, all routes, the share of each team, teams that own lacks (without
// key hashes), and the limits of endpoints that both documents have in the same pool.
//
// Kept from own: the environment, data centres, endpoints with their address, data centre and leaving mark,
// key hashes, and teams that the policy document lacks.
func Promote(policy, own *config.Document) (Promotion, error) {
	next := *own
	next.Pools = slices.Clone(policy.Pools)
	next.Routes = slices.Clone(policy.Routes)
	promotion := Promotion{Document: &next}
	promotion.mergeTeams(policy, own)
	promotion.mergeEndpoints(policy, own)
	checked, err := config.Parse(config.Encode(&next))
	if err != nil {
		return Promotion{}, err
	}
	promotion.Document = checked
	return promotion, nil
}

func (p *Promotion) addNote(text string) {
	p.Notes = append(p.Notes, text)
}

func (p *Promotion) mergeTeams(policy, own *config.Document) {
	ownIndex := make(map[string]int, len(own.Teams))
	for i, team := range own.Teams {
		ownIndex[team.Name] = i
	}
	next := slices.Clone(own.Teams)
	inPolicy := make(map[string]bool, len(policy.Teams))
	for _, team := range policy.Teams {
		inPolicy[team.Name] = true
		if i, found := ownIndex[team.Name]; found {
			next[i].Share = team.Share
			continue
		}
		next = append(next, config.Team{Name: team.Name, Share: team.Share})
		p.addNote("team " + team.Name + " is new and has no key_hashes yet")
	}
	for _, team := range own.Teams {
		if !inPolicy[team.Name] {
			p.addNote("team " + team.Name + " is kept, " + policy.Environment + " does not have it")
		}
	}
	p.Document.Teams = next
}

func (p *Promotion) mergeEndpoints(policy, own *config.Document) {
	policyEndpoints := make(map[string]config.Endpoint, len(policy.Endpoints))
	for _, e := range policy.Endpoints {
		policyEndpoints[e.Name] = e
	}
	next := slices.Clone(own.Endpoints)
	hasEndpoint := map[string]bool{}
	for i, e := range next {
		hasEndpoint[e.Pool] = true
		policyEndpoint, found := policyEndpoints[e.Name]
		if found && policyEndpoint.Pool == e.Pool {
			next[i].WarmLimit, next[i].ColdLimit = policyEndpoint.WarmLimit, policyEndpoint.ColdLimit
		}
	}
	for _, pool := range policy.Pools {
		if !hasEndpoint[pool.Name] {
			p.addNote("pool " + pool.Name + " has no endpoint in " + own.Environment)
		}
	}
	p.Document.Endpoints = next
}
