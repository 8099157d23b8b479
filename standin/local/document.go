package local

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

// Names in the sample document.
const (
	Environment = "dev"
	Model       = "steam-1"
	EnginePool  = "assistant"
	CallPath    = "/v1/tickets"
	ServicePool = "tickets"
	region      = "khomas"
	changeID    = "sample"
)

// Team is a team of the sample document with its key.
type Team struct {
	Name  string
	Share int
	Key   string
}

// Teams are the teams of the sample document.
var Teams = []Team{
	{"kiosks", 4, "kiosks-key"},
	{"call-line", 4, "call-line-key"},
	{"bookings", 2, "bookings-key"},
	{"complaints", 1, "complaints-key"},
}

// DataCentres are those of the sample document.
var DataCentres = []string{"khomas-a", "khomas-b", "khomas-c"}

// Endpoint is an endpoint of the sample document.
type Endpoint struct {
	Name       string
	Pool       string
	DataCentre string
	Address    netip.AddrPort
}

// Limits of the sample endpoints.
const (
	warmLimit = 8
	coldLimit = 2
	warmUp    = 10
)

// document returns a document with a few teams, an engine pool and a service whose calls may not be repeated.
func document(endpoints []Endpoint) *config.Document {
	doc := &config.Document{
		Environment: Environment,
		Pools: []config.Pool{
			pool(EnginePool, config.Engine, Model),
			pool(ServicePool, config.Service, ""),
		},
		Routes: []config.Route{{Path: CallPath, Pool: ServicePool, Idempotent: false}},
	}
	for _, team := range Teams {
		hash := sha256.Sum256([]byte(team.Key))
		doc.Teams = append(doc.Teams, config.Team{
			Name:      team.Name,
			Share:     team.Share,
			KeyHashes: []string{hex.EncodeToString(hash[:])},
		})
	}
	for _, name := range DataCentres {
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: name, Region: region})
	}
	for _, endpoint := range endpoints {
		doc.Endpoints = append(doc.Endpoints, config.Endpoint{
			Name:       endpoint.Name,
			Pool:       endpoint.Pool,
			DataCentre: endpoint.DataCentre,
			Address:    endpoint.Address,
			WarmLimit:  warmLimit,
			ColdLimit:  coldLimit,
		})
	}
	return doc
}

func pool(name string, kind config.PoolKind, model string) config.Pool {
	return config.Pool{
		Name:           name,
		Kind:           kind,
		Model:          model,
		QueueLimit:     100,
		QueueTimeout:   30 * time.Second,
		LongestRequest: 5 * time.Minute,
		LargestCost:    8192,
		WarmUpRequests: warmUp,
	}
}

// Publish puts the sample document in force on a new platform.
func Publish(ctx context.Context, address netip.AddrPort, endpoints []Endpoint) error {
	client := platform.New(platform.Config{Address: address, Environment: Environment})
	defer client.Close()
	newID := func() string { return changeID }
	publisher := publish.New(publish.Config{Platform: client, Environment: Environment, NewID: newID})
	_, err := publisher.Put(ctx, publish.Change{Document: document(endpoints), Description: "sample document"})
	return err
}
