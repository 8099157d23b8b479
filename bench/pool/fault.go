package pool

// fail brings the faults about.
func (p *Pool) fail() {
	for _, freeze := range p.conf.Freezes {
		p.freeze(freeze)
	}
	for _, flap := range p.conf.Flaps {
		e, n := p.entries[flap.Entry], p.nodes[p.cells[flap.Slice]]
		p.after(flap.From, func() { e.lose(n) })
		p.after(flap.To, func() { e.join(n) })
	}
	if p.conf.Out != (Window{}) {
		p.after(p.conf.Out.From, func() { p.setOut(centreName(0)) })
		p.after(p.conf.Out.To, func() { p.setOut("") })
	}
}

// freeze stops a dispatcher; the entries give their sessions up when they notice.
func (p *Pool) freeze(freeze Freeze) {
	n := p.nodes[p.cells[freeze.Slice]]
	p.after(freeze.From, func() { n.frozen = later(n.frozen, p.now.Add(freeze.To-freeze.From)) })
	if freeze.To-freeze.From <= SilentLink {
		return
	}
	for _, e := range p.entries {
		p.after(freeze.From+SilentLink, func() { e.lose(n) })
		p.after(freeze.To+p.conf.Delay, func() { e.join(n) })
	}
}

// setOut takes a data centre out, and all others in.
func (p *Pool) setOut(centre string) {
	p.seen.setOut(centre)
	for i, id := range p.cells {
		p.nodes[id].step(p.policy(&p.cut[i], centre))
	}
}
