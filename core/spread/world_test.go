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
	inForce     = 3 * time.Second // inForce is the target of the users.
	readHang    = time.Second
	platformLag = 10 * time.Millisecond
	slowAnswer  = 700 * time.Millisecond
	linkSilence = 750 * time.Millisecond
	tickEvery   = 100 * time.Millisecond
	newsBytes   = 20 // newsBytes is the size of a message without its data.
	hashBytes   = 34
)

// node is a router of the simulation.
type node struct {
	id       cell.RouterID
	centre   int
	machine  *spread.Machine
	watching bool
	dead     bool
	cut      bool // cut separates it from the platform.
	group    int  // group numbers its side of a partition among routers.
	adopted  uint64
	sent     int // sent is the bytes sent to peers.
}

func (n *node) dataCentre() string { return fmt.Sprintf("dc-%d", n.centre) }

// world is a fleet with links, a platform and a virtual clock.
type world struct {
	*rapid.T
	now      time.Time
	queue    timeline.Queue[func()]
	settings spread.Config
	nodes    []*node
	lives    int
	down     bool // down is an outage of the platform.
	mute     bool // mute lets watches tell nothing.
	corrupt  bool // corrupt lets the platform return other data than a part's.
	harmed   bool // harmed is true once the platform was corrupt.
	root     []byte
	parts    map[string][]byte
	document *config.Document
	newest   uint64
	links    map[[2]cell.RouterID]int // links counts the times that a pair was joined; odd while it is.
	failures []string
}

func newWorld(t *rapid.T, size int, settings spread.Config) *world {
	w := &world{T: t, now: time.Unix(0, 0), settings: settings, parts: map[string][]byte{}, links: map[[2]cell.RouterID]int{}}
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

func (w *world) after(d time.Duration, do func()) {
	w.queue.Add(w.now.Add(d), do)
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for next, ok := w.queue.Next(until); ok; next, ok = w.queue.Next(until) {
		w.now = next.At
		next.What()
	}
	w.now = until
}

// start begins a life of a router that has nothing.
func (w *world) start(n *node) {
	n.dead = false
	for _, other := range w.nodes {
		w.part(n, other)
	}
	w.lives++
	n.id = cell.RouterID(fmt.Sprintf("%s/%d", n.id.Host(), w.lives))
	settings := w.settings
	settings.Self, settings.DataCentre, settings.Environment, settings.Seed = n.id, n.dataCentre(), "trial", uint64(w.lives)
	n.machine, n.watching, n.adopted = spread.New(settings, w.now), false, 0
	members := &spread.Members{}
	for _, other := range w.nodes {
		members.Members = append(members.Members, spread.Member{Host: other.id.Host(), DataCentre: other.dataCentre()})
	}
	w.step(n, n.id, members)
	w.tick(n, n.id)
	w.relink()
}

func (w *world) tick(n *node, life cell.RouterID) {
	if n.id == life && !n.dead {
		w.step(n, life, &spread.Tick{})
		w.after(tickEvery, func() { w.tick(n, life) })
	}
}

func pair(a, b *node) [2]cell.RouterID {
	return [2]cell.RouterID{min(a.id, b.id), max(a.id, b.id)}
}

func (w *world) linked(a, b *node) bool { return w.links[pair(a, b)]%2 == 1 }

// part closes a link; both ends notice by its silence.
func (w *world) part(a, b *node) {
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

// relink joins and parts links as the partition says.
func (w *world) relink() {
	for i, a := range w.nodes {
		for _, b := range w.nodes[:i] {
			switch {
			case a.group != b.group || a.dead || b.dead:
				w.part(a, b)
			case a.machine != nil && b.machine != nil && !w.linked(a, b):
				w.links[pair(a, b)]++
				w.step(a, a.id, &spread.PeerUp{Router: b.id})
				w.step(b, b.id, &spread.PeerUp{Router: a.id})
			}
		}
	}
}

// step hands an event to a life of a router and performs what follows.
func (w *world) step(n *node, life cell.RouterID, event spread.Event) {
	if n.id != life || n.dead {
		return
	}
	for _, action := range n.machine.Step(w.now, event) {
		w.perform(n, action)
	}
}

func (w *world) perform(n *node, action spread.Action) {
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
	case *spread.SendNews:
		n.sent += newsBytes + len(a.Root)
		w.send(n, a.To, &spread.News{From: n.id, Generation: a.Generation, Root: a.Root})
	case *spread.SendAsk:
		n.sent += newsBytes + len(a.Hashes)*hashBytes
		w.send(n, a.To, &spread.Ask{From: n.id, Hashes: a.Hashes})
	case *spread.SendPart:
		n.sent += newsBytes + len(a.Data)
		w.send(n, a.To, &spread.Part{From: n.id, Hash: a.Hash, Data: a.Data})
	case *spread.Adopt:
		if a.Root.Generation <= n.adopted {
			w.failures = append(w.failures, fmt.Sprintf("%s went from generation %d to %d", n.id, n.adopted, a.Root.Generation))
		}
		n.adopted = a.Root.Generation
	case *spread.Report:
		if !w.harmed {
			w.failures = append(w.failures, fmt.Sprintf("%s reports generation %d: %v", n.id, a.Generation, a.Err))
		}
	}
}

// call reaches the platform, or fails after a while if it can't.
func (w *world) call(n *node, read func() spread.Event, failure spread.Event) {
	life := n.id
	if n.cut || w.down {
		w.after(readHang, func() { w.step(n, life, failure) })
		return
	}
	event := read()
	w.after(w.lag(), func() { w.step(n, life, event) })
}

func (w *world) readPart(hash string) []byte {
	if w.corrupt {
		return []byte("x")
	}
	return w.parts[hash]
}

// lag is how long an answer of the platform is under way; one in eight is slow.
func (w *world) lag() time.Duration {
	if w.queue.Added()%8 == 0 {
		return slowAnswer
	}
	return platformLag
}

// send delivers a message unless the link is closed before it arrives.
func (w *world) send(from *node, to cell.RouterID, event spread.Event) {
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

func (w *world) tellWatcher(n *node) {
	if n.watching && !n.cut && !w.down && !w.mute && w.root != nil {
		root, life := w.root, n.id
		w.after(w.lag(), func() { w.step(n, life, &spread.RootRead{Root: root, Watched: true}) })
	}
}

// publish accepts a new generation in the platform.
func (w *world) publish() {
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

// disturb makes one random thing happen.
func (w *world) disturb() {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.T, "router")]
	switch rapid.IntRange(0, 10).Draw(w.T, "what") {
	case 0, 1, 2:
		w.publish()
	case 3:
		n.cut = !n.cut
	case 4:
		w.down = !w.down
	case 5:
		w.mute = !w.mute
	case 6:
		n.group = rapid.IntRange(0, 2).Draw(w.T, "group")
		w.relink()
	case 7:
		w.start(n)
	case 8:
		other := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.T, "other")]
		w.part(n, other)
		w.after(time.Second, w.relink)
	case 9:
		w.corrupt = !w.corrupt
		w.harmed = true
	case 10:
		n.dead = true
		w.relink()
	}
}

// heal joins all live routers and lets those of at least one data centre reach the platform; watches may stay silent.
func (w *world) heal() {
	w.down = false
	reaches := rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 1, 3, rapid.ID).Draw(w.T, "data centres that reach the platform")
	alone := !slices.ContainsFunc(w.nodes, func(n *node) bool { return !n.dead && slices.Contains(reaches, n.centre) })
	if alone {
		reaches = append(reaches, w.nodes[0].centre)
	}
	for _, n := range w.nodes {
		n.cut, n.group = !slices.Contains(reaches, n.centre), 0
	}
	if alone && w.nodes[0].dead {
		w.start(w.nodes[0])
	}
	w.relink()
}
