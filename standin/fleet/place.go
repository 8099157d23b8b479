package fleet

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Between returns the one-way delay between hosts of two data centres.
type Between func(from, to string) time.Duration

// places says in which data centre each host is. Many goroutines may use it.
type places struct {
	mu      sync.Mutex
	centres map[netip.Addr]string
}

func (p *places) set(host netip.Addr, dataCentre string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.centres == nil {
		p.centres = map[netip.Addr]string{}
	}
	p.centres[host] = dataCentre
}

func (p *places) of(host netip.Addr) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.centres[host]
}

// in returns the hosts of some data centres.
func (p *places) in(dataCentres []string) []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hosts []netip.Addr
	for host, dataCentre := range p.centres {
		if slices.Contains(dataCentres, dataCentre) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (f *Fleet) delay(from, to netip.Addr) time.Duration {
	return f.config.Between(f.places.of(from), f.places.of(to))
}

// Cut loses all that is sent between two groups of data centres, until Heal.
func (f *Fleet) Cut(some, others []string) {
	f.eachPair(some, others, f.Network.Cut)
}

// Heal ends a Cut.
func (f *Fleet) Heal(some, others []string) {
	f.eachPair(some, others, f.Network.Heal)
}

func (f *Fleet) eachPair(some, others []string, apply func(a, b netip.Addr)) {
	for _, a := range f.places.in(some) {
		for _, b := range f.places.in(others) {
			apply(a, b)
		}
	}
}
