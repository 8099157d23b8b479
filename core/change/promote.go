package change

import (
	"slices"

	"ryelug/core/config"
)

// Promotion is the outcome of carrying a policy to another environment.
type Promotion struct {
	Document *config.Document
	Notes    []string // Notes say what an operator should look at.
}

// Promote carries the policy of one environment to another, which keeps what is its own.
//
// Policy, taken from the first document: all pools, all routes, the share of each
// team, teams that the second document lacks (without keys), and the limits of
// endpoints that both have in the same pool. Its own, kept from the second
// document: its environment, data centres, endpoints with address, data centre
// and leaving, key hashes, and teams that the first document lacks.
func Promote(policy, own *config.Document) (Promotion, error) {
	next := *own
	next.Pools = slices.Clone(policy.Pools)
	next.Routes = slices.Clone(policy.Routes)
	promotion := Promotion{Document: &next}
	promotion.teams(policy, own)
	promotion.endpoints(policy, own)
	checked, err := config.Parse(config.Encode(&next))
	if err != nil {
		return Promotion{}, err
	}
	promotion.Document = checked
	return promotion, nil
}

func (p *Promotion) note(text string) {
	p.Notes = append(p.Notes, text)
}

func (p *Promotion) teams(policy, own *config.Document) {
	kept := make(map[string]int, len(own.Teams))
	for i, team := range own.Teams {
		kept[team.Name] = i
	}
	next := slices.Clone(own.Teams)
	carried := make(map[string]bool, len(policy.Teams))
	for _, team := range policy.Teams {
		carried[team.Name] = true
		if i, found := kept[team.Name]; found {
			next[i].Share = team.Share
			continue
		}
		next = append(next, config.Team{Name: team.Name, Share: team.Share})
		p.note("team " + team.Name + " is new and has no key_hashes yet")
	}
	for _, team := range own.Teams {
		if !carried[team.Name] {
			p.note("team " + team.Name + " is kept, " + policy.Environment + " does not have it")
		}
	}
	p.Document.Teams = next
}

func (p *Promotion) endpoints(policy, own *config.Document) {
	limits := make(map[string]config.Endpoint, len(policy.Endpoints))
	for _, e := range policy.Endpoints {
		limits[e.Name] = e
	}
	next := slices.Clone(own.Endpoints)
	served := map[string]bool{}
	for i, e := range next {
		served[e.Pool] = true
		from, found := limits[e.Name]
		if found && from.Pool == e.Pool {
			next[i].WarmLimit, next[i].ColdLimit = from.WarmLimit, from.ColdLimit
		}
	}
	for _, pool := range policy.Pools {
		if !served[pool.Name] {
			p.note("pool " + pool.Name + " has no endpoint in " + own.Environment)
		}
	}
	p.Document.Endpoints = next
}
