package spread_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/spread"
	"ryelug/standin/timeline"
)

const (
	adoptionTarget = 3 * time.Second        // adoptionTarget is the time within which every connected router must adopt a new generation.
	readHang       = time.Second            // readHang is how long a read of an unreachable platform takes to fail.
	platformLag    = 10 * time.Millisecond  // platformLag is the usual time of an answer of the platform.
	slowAnswer     = 700 * time.Millisecond // slowAnswer is the time of a slow answer of the platform.
	linkSilence    = 750 * time.Millisecond // linkSilence is how long the loss of a link goes unnoticed.
	tickEvery      = 100 * time.Millisecond // tickEvery is the interval of Tick events.
	newsBytes      = 20                     // newsBytes is the assumed size of a message without its data.
	hashBytes      = 34                     // hashBytes is the assumed size of a hash in a message.
)

// node is a simulated router.
type node struct {
	id       cell.RouterID   // id changes with each process of the router.
	centre   int             // centre is the number of the node's data centre.
	machine  *spread.Machine // machine is the code under test; each process has a new one.
	watching bool            // watching is true while the machine wants to be told of new roots.
	dead     bool            // dead is true while no process of the router runs.
	isolated bool            // isolated is true while the node can't reach the platform.
	group    int             // group is the node's side of a partition between routers; only nodes of the same group are linked.
	adopted  uint64          // adopted is the generation that this process has in force.
	sent     int             // sent counts the bytes that the node has sent to peers.
}

func (n *node) dataCentre() string { return fmt.Sprintf("dc-%d", n.centre) }

// simulation simulates routers, the links between them and the platform on a virtual clock.
type simulation struct {
	*rapid.T
	now           time.Time
	queue         timeline.Queue[func()]
	settings      spread.Config
	nodes         []*node
	incarnations  int               // incarnations counts the router processes that were started.
	down          bool              // down is true while the platform answers nobody.
	silentWatches bool              // silentWatches is true while watches deliver nothing.
	corrupt       bool              // corrupt is true while the platform returns wrong data for every part.
	everCorrupt   bool              // everCorrupt is true once corrupt has been true.
	root          []byte            // root is the encoded root that the platform holds; nil before the first one.
	parts         map[string][]byte // parts holds every part that the platform has, by its hash.
	document      *config.Document
	newest        uint64                   // newest is the generation of root.
	links         map[[2]cell.RouterID]int // links counts how often each pair was linked and unlinked; the number is odd while it is linked.
	failures      []string                 // failures describes what went wrong.
}

func newSimulation(t *rapid.T, size int, settings spread.Config) *simulation {
	w := &simulation{T: t, now: time.Unix(0, 0), settings: settings, parts: map[string][]byte{}, links: map[[2]cell.RouterID]int{}}
	w.document = &config.Document{Environment: "trial"}
	for i := range 70 {
		w.document.Teams = append(w.document.Teams, config.Team{Name: fmt.Sprintf("team-%d", i), Share: 1})
	}
	for i := range size {
		w.nodes = append(w.nodes, &node{id: cell.RouterID(fmt.Sprintf("h%d/0", i)), centre: i % 3})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

// after schedules a call at the given time from now.
func (w *simulation) after(d time.Duration, do func()) {
	w.queue.Add(w.now.Add(d), do)
}

// run advances the virtual clock by the given time and performs what is due.
func (w *simulation) run(d time.Duration) {
	until := w.now.Add(d)
	for next, ok := w.queue.Next(until); ok; next, ok = w.queue.Next(until) {
		w.now = next.At
		next.What()
	}
	w.now = until
}

// start starts a new process of a router, which has no configuration and no links yet.
func (w *simulation) start(n *node) {
	n.dead = false
	for _, other := range w.nodes {
		w.unlink(n, other)
	}
	w.incarnations++
	n.id = cell.RouterID(fmt.Sprintf("%s/%d", n.id.Host(), w.incarnations))
	settings := w.settings
	settings.Self, settings.DataCentre, settings.Environment, settings.Seed = n.id, n.dataCentre(), "trial", uint64(w.incarnations)
	n.machine, n.watching, n.adopted = spread.New(settings, w.now), false, 0
	members := &spread.Members{}
	for _, other := range w.nodes {
		members.Members = append(members.Members, spread.Member{Host: other.id.Host(), DataCentre: other.dataCentre()})
	}
	w.step(n, n.id, members)
	w.tick(n, n.id)
	w.relink()
}

// tick sends Tick events to one process of a router until it ends.
func (w *simulation) tick(n *node, process cell.RouterID) {
	if n.id == process && !n.dead {
		w.step(n, process, &spread.Tick{})
		w.after(tickEvery, func() { w.tick(n, process) })
	}
}

// pair returns the key of a link: the two routers' IDs in order.
func pair(a, b *node) [2]cell.RouterID {
	return [2]cell.RouterID{min(a.id, b.id), max(a.id, b.id)}
}

func (w *simulation) linked(a, b *node) bool { return w.links[pair(a, b)]%2 == 1 }

// unlink closes a link; both ends notice after linkSilence, unless it is back by then.
func (w *simulation) unlink(a, b *node) {
	if a == b || !w.linked(a, b) {
		return
	}
	key := pair(a, b)
	w.links[key]++
	count := w.links[key]
	aID, bID := a.id, b.id
	w.after(linkSilence, func() {
		if w.links[key] == count {
			w.step(a, aID, &spread.PeerDown{Router: bID})
			w.step(b, bID, &spread.PeerDown{Router: aID})
		}
	})
}

// relink opens and closes links so that exactly the live nodes of the same group are linked.
func (w *simulation) relink() {
	for i, a := range w.nodes {
		for _, b := range w.nodes[:i] {
			switch {
			case a.group != b.group || a.dead || b.dead:
				w.unlink(a, b)
			case a.machine != nil && b.machine != nil && !w.linked(a, b):
				w.links[pair(a, b)]++
				w.step(a, a.id, &spread.PeerUp{Router: b.id})
				w.step(b, b.id, &spread.PeerUp{Router: a.id})
			}
		}
	}
}

// step passes an event to a router and performs the actions, unless the process it is for has ended.
func (w *simulation) step(n *node, process cell.RouterID, event spread.Event) {
	if n.id != process || n.dead {
		return
	}
	for _, action := range n.machine.Step(w.now, event) {
		w.perform(n, action)
	}
}

// perform performs one action of a machine.
func (w *simulation) perform(n *node, action spread.Action) {
	switch a := action.(type) {
	case *spread.Watch:
		n.watching = a.On
		if a.On {
			w.tellWatcher(n)
		}
	case *spread.ReadRoot:
		w.call(n, func() spread.Event { return &spread.RootRead{Root: w.root, Began: a.Began} }, &spread.RootFailed{})
	case *spread.ReadParts:
		for _, hash := range a.Hashes {
			w.call(n, func() spread.Event { return &spread.PartRead{Hash: hash, Data: w.readPart(hash)} }, &spread.PartFailed{Hash: hash})
		}
	case *spread.SendAnnouncement:
		n.sent += newsBytes + len(a.Root)
		w.send(n, a.To, &spread.Announcement{From: n.id, Generation: a.Generation, Root: a.Root})
	case *spread.SendPartRequest:
		n.sent += newsBytes + len(a.Hashes)*hashBytes
		w.send(n, a.To, &spread.PartRequest{From: n.id, Hashes: a.Hashes})
	case *spread.SendPart:
		n.sent += newsBytes + len(a.Data)
		w.send(n, a.To, &spread.Part{From: n.id, Hash: a.Hash, Data: a.Data})
	case *spread.Adopt:
		if a.Root.Generation <= n.adopted {
			w.failures = append(w.failures, fmt.Sprintf("%s went from generation %d to %d", n.id, n.adopted, a.Root.Generation))
		}
		n.adopted = a.Root.Generation
	case *spread.Report:
		if !w.everCorrupt {
			w.failures = append(w.failures, fmt.Sprintf("%s reports generation %d: %v", n.id, a.Generation, a.Err))
		}
	}
}

// call reads from the platform, or fails after readHang if the platform can't be reached.
func (w *simulation) call(n *node, read func() spread.Event, failure spread.Event) {
	process := n.id
	if n.isolated || w.down {
		w.after(readHang, func() { w.step(n, process, failure) })
		return
	}
	event := read()
	w.after(w.lag(), func() { w.step(n, process, event) })
}

// readPart returns what the platform sends for a hash.
func (w *simulation) readPart(hash string) []byte {
	if w.corrupt {
		return []byte("x")
	}
	return w.parts[hash]
}

// lag returns how long an answer of the platform takes; one in eight is slow.
func (w *simulation) lag() time.Duration {
	if w.queue.Added()%8 == 0 {
		return slowAnswer
	}
	return platformLag
}

// send delivers a message unless the link is closed before the message arrives.
func (w *simulation) send(from *node, to cell.RouterID, event spread.Event) {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == to })
	if i < 0 || !w.linked(from, w.nodes[i]) {
		return
	}
	n, key := w.nodes[i], pair(from, w.nodes[i])
	count := w.links[key]
	delay := time.Duration(1+w.queue.Added()%40) * time.Millisecond
	w.after(delay, func() {
		if w.links[key] == count {
			w.step(n, to, event)
		}
	})
}

// tellWatcher delivers the platform's root to a node that watches and can reach the platform.
func (w *simulation) tellWatcher(n *node) {
	if n.watching && !n.isolated && !w.down && !w.silentWatches && w.root != nil {
		root, process := w.root, n.id
		w.after(w.lag(), func() { w.step(n, process, &spread.RootRead{Root: root, Watched: true}) })
	}
}

// publish stores a new generation in the platform.
func (w *simulation) publish() {
	w.newest++
	w.document.Teams[int(w.newest)*7%70].Share++
	root, parts := config.Split(w.document)
	root.Generation, root.ChangeID = w.newest, fmt.Sprint(w.newest)
	var fresh []string
	for hash, part := range parts {
		if _, known := w.parts[hash]; !known {
			fresh = append(fresh, hash)
		}
		w.parts[hash] = part
	}
	root.SetFresh(fresh)
	w.root = root.Encode()
	for _, n := range w.nodes {
		w.tellWatcher(n)
	}
}

// injectFault draws one event at random: a new generation, or the start or end of a fault.
func (w *simulation) injectFault() {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.T, "router")]
	switch rapid.IntRange(0, 10).Draw(w.T, "what") {
	case 0, 1, 2:
		w.publish()
	case 3:
		n.isolated = !n.isolated
	case 4:
		w.down = !w.down
	case 5:
		w.silentWatches = !w.silentWatches
	case 6:
		n.group = rapid.IntRange(0, 2).Draw(w.T, "group")
		w.relink()
	case 7:
		w.start(n)
	case 8:
		other := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.T, "other")]
		w.unlink(n, other)
		w.after(time.Second, w.relink)
	case 9:
		w.corrupt = !w.corrupt
		w.everCorrupt = true
	case 10:
		n.dead = true
		w.relink()
	}
}

// repair links all live routers and lets those of at least one data centre reach the platform. Watches may go on delivering nothing.
func (w *simulation) repair() {
	w.down = false
	reaches := rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 1, 3, rapid.ID).Draw(w.T, "data centres that reach the platform")
	alone := !slices.ContainsFunc(w.nodes, func(n *node) bool { return !n.dead && slices.Contains(reaches, n.centre) })
	if alone {
		reaches = append(reaches, w.nodes[0].centre)
	}
	for _, n := range w.nodes {
		n.isolated, n.group = !slices.Contains(reaches, n.centre), 0
	}
	if alone && w.nodes[0].dead {
		w.start(w.nodes[0])
	}
	w.relink()
}
