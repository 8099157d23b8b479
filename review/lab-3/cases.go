package main

import "time"

var cases = map[string]func(*lab){}

var zones = []string{"tbilisi-a", "tbilisi-b", "tbilisi-c"}

// small starts a small deployment: nine model servers, three of a plain service, and some routers.
func (l *lab) small(routers int) {
	l.configure(nil)
	for i := range 9 {
		l.newServer("i-llm"+string(rune('a'+i)), "ryelug-pool", zones[i%3], 64)
	}
	for i := range 3 {
		l.newServer("i-app"+string(rune('a'+i)), "claims-api", zones[i], 6)
	}
	for i := range routers {
		l.newRouter("front-"+zones[i%3]+"-"+string(rune('1'+i/3)), zones[i%3]).start()
	}
	l.awaitReady()
	time.Sleep(2 * time.Second)
}

// nodeOf returns the router that sent a request to a server.
func (l *lab) nodeOf(id string) string {
	for _, a := range l.all() {
		if a.id == id {
			return a.node
		}
	}
	return ""
}

// serverOf returns the last server that a request reached.
func (l *lab) serverOf(id string) string {
	name := ""
	for _, a := range l.all() {
		if a.id == id {
			name = a.server
		}
	}
	return name
}
