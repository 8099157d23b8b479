package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"time"

	"ryelug/core/config"
	"ryelug/io/platform"
	"ryelug/router/publish"
)

// The sample environment of the dev command.
const (
	sampleEnvironment = "dev"
	sampleRegion      = "khomas"
	sampleModel       = "steam-1"
	samplePool        = "assistant"
	servicePath       = "/v1/tickets"
	servicePool       = "tickets"
)

// sampleTeam is a team of the sample document with its key.
type sampleTeam struct {
	name  string
	share int
	key   string
}

var sampleTeams = []sampleTeam{
	{"kiosks", 4, "kiosks-key"},
	{"call-line", 4, "call-line-key"},
	{"bookings", 2, "bookings-key"},
	{"complaints", 1, "complaints-key"},
}

var sampleDataCentres = []string{"khomas-a", "khomas-b", "khomas-c"}

// sampleEndpoint is an endpoint of the sample document.
type sampleEndpoint struct {
	name       string
	pool       string
	dataCentre string
	address    netip.AddrPort
}

// Limits of the sample endpoints.
const (
	sampleWarmLimit = 8
	sampleColdLimit = 2
	sampleWarmUp    = 10
)

// sampleDocument returns a document with a few teams, an engine pool and a service whose calls may not be repeated.
func sampleDocument(endpoints []sampleEndpoint) *config.Document {
	doc := &config.Document{
		Environment: sampleEnvironment,
		Pools: []config.Pool{
			samplePoolOf(samplePool, config.Engine, sampleModel),
			samplePoolOf(servicePool, config.Service, ""),
		},
		Routes: []config.Route{{Path: servicePath, Pool: servicePool, Idempotent: false}},
	}
	for _, team := range sampleTeams {
		hash := sha256.Sum256([]byte(team.key))
		doc.Teams = append(doc.Teams, config.Team{
			Name:      team.name,
			Share:     team.share,
			KeyHashes: []string{hex.EncodeToString(hash[:])},
		})
	}
	for _, name := range sampleDataCentres {
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: name, Region: sampleRegion})
	}
	for _, endpoint := range endpoints {
		doc.Endpoints = append(doc.Endpoints, config.Endpoint{
			Name:       endpoint.name,
			Pool:       endpoint.pool,
			DataCentre: endpoint.dataCentre,
			Address:    endpoint.address,
			WarmLimit:  sampleWarmLimit,
			ColdLimit:  sampleColdLimit,
		})
	}
	return doc
}

func samplePoolOf(name string, kind config.PoolKind, model string) config.Pool {
	return config.Pool{
		Name:           name,
		Kind:           kind,
		Model:          model,
		QueueLimit:     100,
		QueueTimeout:   30 * time.Second,
		LongestRequest: 5 * time.Minute,
		LargestCost:    8192,
		WarmUpRequests: sampleWarmUp,
	}
}

// publishSample writes the sample document to a new platform.
func publishSample(ctx context.Context, address netip.AddrPort, endpoints []sampleEndpoint) error {
	client := platform.New(platform.Config{Address: address, Environment: sampleEnvironment})
	defer client.Close()
	publisher := publish.New(publish.Config{Platform: client, Environment: sampleEnvironment})
	base, err := publisher.Read(ctx)
	if err != nil {
		return err
	}
	_, err = publisher.Put(ctx, publish.Change{Base: base, Document: sampleDocument(endpoints), Text: "sample"})
	return err
}
