package coordination

import (
	"context"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/io/peer"
)

// View is a snapshot of the coordination state of a router, for metrics and tests.
type View struct {
	Router cell.RouterID
	Links  int                 // Links is the number of other routers to which this one has dialled a link that is open.
	Total  int                 // Total is the number of stakes that the limit of each endpoint is divided into.
	CutOff bool                // CutOff reports whether this router has been without a fresh host list and without links to most routers for too long.
	Cells  []dispatch.Snapshot // Cells lists the cells that entries have joined at this router's dispatcher.
	Peers  peer.Stats          // Peers holds the counters of the links.
}

// View returns a snapshot of the coordination state; false if ctx or the coordinator ends first.
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
		CutOff: c.memberTable.CutOff(now),
		Cells:  c.dispatch.Snapshots(),
		Peers:  c.mesh.Stats(),
	}
	return view
}
