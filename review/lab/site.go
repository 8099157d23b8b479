package main

import (
	"fmt"
	"time"
)

// Services and keys of the lab's deployment, which is a small one of the kind in the site files.
const (
	pool   = "pool"
	till   = "till"
	tenant = "tenant-a"
	key    = "key-a-0001"
)

type routeSpec struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	SloMs           int    `json:"sloMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
	SessionAffinity bool   `json:"sessionAffinity"`
	Resumable       bool   `json:"resumable"`
	GapSloMs        int    `json:"gapSloMs,omitempty"`
}

// routes are those of the first deployment's sheet.
func routes() []routeSpec {
	return []routeSpec{
		{Name: "plan", Host: host, PathPrefix: "/plan/", Kind: "streaming", TimeoutMs: 12000, SloMs: 600, Priority: 1, Service: pool, MaxAttempts: 1, SessionAffinity: true, GapSloMs: 300},
		{Name: "kiosk", Host: host, PathPrefix: "/kiosk/", Kind: "streaming", TimeoutMs: 12000, SloMs: 400, Priority: 1, Service: pool, MaxAttempts: 2, SessionAffinity: true, Resumable: true, GapSloMs: 300},
		{Name: "issue", Host: host, PathPrefix: "/issue/", Kind: "unsafe", TimeoutMs: 1000, SloMs: 150, Priority: 2, Service: till, MaxAttempts: 1},
		{Name: "look", Host: host, PathPrefix: "/look/", Kind: "safe", TimeoutMs: 1000, SloMs: 150, Priority: 2, Service: till, MaxAttempts: 2},
	}
}

// configure writes a configuration as the operator does.
func (l *lab) configure(version int, list []routeSpec) {
	l.logf("the operator writes configuration %d", version)
	l.store.put("config", "main", map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{
			{"name": pool, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 16.0, "engine": map[string]any{
				"slots": 64, "kvCapacity": 668304, "kvTokenBytes": 35136, "linkMbps": 350000.0, "moves": true, "backups": true, "stride": 7, "most": 12,
				"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": till, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 290000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{key}, "priority": 1}},
	})
}

// engines starts servers of the pool, tills those of the till, one in each zone by turns.
func (l *lab) servers(service string, count, slots int, zones []string, handle func(*call) bool) []*server {
	var list []*server
	for n := range count {
		s := &server{lab: l, id: fmt.Sprintf("i-%s-%d", service, n+1), service: service, zone: zones[n%len(zones)], slots: slots, handle: handle}
		s.start()
		list = append(list, s)
	}
	return list
}

// prompt returns the header of a request to a model server; shared are the parts that others have as well.
func prompt(own string, output int, shared ...string) string {
	text, tokens := "", 100
	for _, part := range shared {
		text += part + ":200,"
		tokens += 200
	}
	return fmt.Sprintf("X-Model: m\r\nX-Token-Counts: %d,%d\r\nX-Prompt-Prefix: %s%s:100\r\nContent-Type: application/json\r\n", tokens, output, text, own)
}

// every calls f at a pace until the time is over.
func every(pause, span time.Duration, f func(n int)) {
	end := time.Now().Add(span)
	for n := 0; time.Now().Before(end); n++ {
		go f(n)
		time.Sleep(pause)
	}
}
