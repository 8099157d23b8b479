package coordination

import (
	"context"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/io/peer"
)

// View is the coordination state of a router, for metrics and tests.
type View struct {
	Router cell.RouterID
	Links  int // Links is the number of routers that this one has dialed and reached.
	Total  int // Total is the number that stakes are divided by.
	CutOff bool
	Cells  []dispatch.Snapshot // Cells lists the cells that this router dispatches.
	Peers  peer.Stats
}

// View returns the coordination state, and false if ctx ends first.
func (c *Coordinator) View(ctx context.Context) (View, bool) {
	reply := make(chan View, 1)
	if !c.post(ctx, inspect{reply: reply}) {
		return View{}, false
	}
	select {
	case view := <-reply:
		return view, true
	case <-c.done:
		return View{}, false
	case <-ctx.Done():
		return View{}, false
	}
}

func (c *Coordinator) view(now time.Time) View {
	view := View{
		Router: c.self,
		Links:  c.links.Count(),
		Total:  c.total,
		CutOff: c.table.CutOff(now),
		Cells:  c.dispatch.Snapshots(),
		Peers:  c.mesh.Stats(),
	}
	return view
}
