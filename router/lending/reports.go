package lending

import (
	"time"

	"ryelug/core/cell"
	"ryelug/io/wire"
)

// reportUnserved reports to each cell's dispatcher the requests that this entry refused
// without asking for a grant. While a cell has no dispatcher, its sums are kept for a later call.
func (r *Role) reportUnserved() {
	for id, cs := range r.cells {
		router, session := cs.lender.Current()
		if router == "" {
			continue
		}
		if teams := r.config.Unserved.Take(id); len(teams) > 0 {
			r.config.Send(router, &wire.Unserved{Cell: id, Session: session, Teams: teams})
		}
	}
}

// updateStandings records which teams get less than their share according to a dispatcher's report, if it comes from the session in force.
func (r *Role) updateStandings(now time.Time, from cell.RouterID, m *wire.Behind) {
	cs, ok := r.cells[m.Cell]
	if !ok {
		return
	}
	if router, session := cs.lender.Current(); router == from && session == m.Session {
		r.config.Standings.Set(now, m.Cell, m.Teams)
	}
}

// updateRejections replaces the rejected prompt parts by those that a dispatcher reports, if the report comes from the session
// in force.
func (r *Role) updateRejections(now time.Time, from cell.RouterID, m *wire.Rejected) {
	cs, ok := r.cells[m.Cell]
	if !ok {
		return
	}
	if router, session := cs.lender.Current(); router == from && session == m.Session {
		cs.rejections.Replace(now, m.Parts)
	}
}
