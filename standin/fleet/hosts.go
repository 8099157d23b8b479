package fleet

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"ryelug/core/config"
	platformclient "ryelug/io/platform"
	"ryelug/standin/engine"
	"ryelug/standin/service"
)

const (
	platformPort = 80
	endpointPort = 8000
	peerPort     = 7000
	callersPort  = 8080
	operatorPort = 8081

	awaitPause = 20 * time.Millisecond
	settleTime = time.Minute // settleTime lets the cleaners of connection pools end.

	defaultWarmLimit = 8
	defaultColdLimit = 2
	defaultWarmUp    = 4
	defaultTokenGap  = 10 * time.Millisecond
	defaultCallTime  = 50 * time.Millisecond
)

// server is a stand-in that serves a listener.
type server interface {
	Serve(listener net.Listener) error
}

// host returns the address of a new host in a data centre.
func (f *Fleet) host(dataCentre string) netip.Addr {
	f.hosts++
	address := netip.AddrFrom4([4]byte{10, 0, byte(f.hosts >> 8), byte(f.hosts)})
	f.places.set(address, dataCentre)
	return address
}

// serve runs a stand-in on a new host of a data centre.
func (f *Fleet) serve(standin server, dataCentre string, port uint16) (netip.AddrPort, error) {
	address := netip.AddrPortFrom(f.host(dataCentre), port)
	listener, err := f.Network.Listen(address)
	if err != nil {
		return netip.AddrPort{}, trace.Wrap(err)
	}
	f.serving.Go(func() error { return standin.Serve(listener) })
	return address, nil
}

// client returns a client of the platform on a host.
func (f *Fleet) client(from netip.Addr) *platformclient.Client {
	return platformclient.New(platformclient.Config{
		Address:     f.platform,
		Environment: Environment,
		Dial:        f.Network.Dialer(from),
	})
}

func (f *Fleet) dataCentre(i int) string {
	return f.config.DataCentres[i%len(f.config.DataCentres)]
}

// document returns the first document, without endpoints.
func (f *Fleet) document() *config.Document {
	doc := &config.Document{Environment: Environment}
	for _, name := range f.config.DataCentres {
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: name, Region: "khomas"})
	}
	for _, team := range f.config.Teams {
		sum := sha256.Sum256([]byte(Key(team.Name)))
		team.KeyHashes = []string{hex.EncodeToString(sum[:])}
		doc.Teams = append(doc.Teams, team)
	}
	doc.Pools = append(doc.Pools, f.pool(EnginePool, config.Engine, f.config.Engine.WarmUp))
	doc.Pools[0].Model = Model
	if f.config.Services > 0 {
		doc.Pools = append(doc.Pools, f.pool(ServicePool, config.Service, f.config.Service.WarmUp))
		doc.Routes = append(doc.Routes, config.Route{Path: CallPath, Pool: ServicePool})
	}
	return doc
}

func (f *Fleet) pool(name string, kind config.PoolKind, warmUp int) config.Pool {
	return config.Pool{
		Name:           name,
		Kind:           kind,
		QueueLimit:     cmp.Or(f.config.QueueLimit, 100),
		QueueTimeout:   cmp.Or(f.config.QueueTimeout, 30*time.Second),
		LongestRequest: cmp.Or(f.config.LongestRequest, 5*time.Minute),
		LargestCost:    cmp.Or(f.config.LargestCost, 1000),
		WarmUpRequests: cmp.Or(warmUp, defaultWarmUp),
	}
}

// startEndpoints starts the engines and services and lists them in the document.
func (f *Fleet) startEndpoints() error {
	for i := range f.config.Engines {
		conf := f.config.Engine
		conf.Name = fmt.Sprintf("engine-%d", i+1)
		conf.Seed = f.config.Seed + uint64(i)
		conf.WarmLimit = cmp.Or(conf.WarmLimit, defaultWarmLimit)
		conf.ColdLimit = cmp.Or(conf.ColdLimit, defaultColdLimit)
		conf.WarmUp = cmp.Or(conf.WarmUp, defaultWarmUp)
		conf.TokenGap = cmp.Or(conf.TokenGap, defaultTokenGap)
		started := engine.New(conf)
		f.Engines = append(f.Engines, started)
		if err := f.addEndpoint(started, conf.Name, EnginePool, i, conf.WarmLimit, conf.ColdLimit); err != nil {
			return err
		}
	}
	for i := range f.config.Services {
		conf := f.config.Service
		conf.Name = fmt.Sprintf("service-%d", i+1)
		conf.WarmLimit = cmp.Or(conf.WarmLimit, defaultWarmLimit)
		conf.ColdLimit = cmp.Or(conf.ColdLimit, defaultColdLimit)
		conf.WarmUp = cmp.Or(conf.WarmUp, defaultWarmUp)
		conf.Duration = cmp.Or(conf.Duration, defaultCallTime)
		started := service.New(conf)
		f.Services = append(f.Services, started)
		if err := f.addEndpoint(started, conf.Name, ServicePool, i, conf.WarmLimit, conf.ColdLimit); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addEndpoint(standin server, name, pool string, i, warm, cold int) error {
	address, err := f.serve(standin, f.dataCentre(i), endpointPort)
	if err != nil {
		return err
	}
	f.Document.Endpoints = append(f.Document.Endpoints, config.Endpoint{
		Name: name, Pool: pool, DataCentre: f.dataCentre(i), Address: address, WarmLimit: warm, ColdLimit: cold,
	})
	return nil
}
