package neighbour_test

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/neighbour"
)

// router returns a router of this data centre.
func router(host string, processor int) neighbour.Router {
	return neighbour.Router{Host: cell.HostID(host), Address: netip.MustParseAddrPort("10.0.0." + host + ":7415"), Processor: processor}
}

// away returns a router of another data centre.
func away(host string, processor int, dataCentre string) neighbour.Router {
	one := router(host, processor)
	one.RemoteDataCentre = dataCentre
	return one
}

// reports holds the loads that routers report, by host; hosts without an entry can't be reached.
type reports map[cell.HostID]int

func (t reports) load(one *neighbour.Router) (int, bool) {
	load, reached := t[one.Host]
	return load, reached
}

// full is the load of a router without spare capacity, in thousandths.
const full = 1000

// choose selects routers for a number of connections and returns how many each host gets.
func choose(t *neighbour.Table, now time.Time, loads reports, count int) map[cell.HostID]int {
	chosen := map[cell.HostID]int{}
	for range count {
		if one, ok := t.Choose(now, full, loads.load); ok {
			chosen[one.Host]++
		}
	}
	return chosen
}

func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("in proportion to spare capacity", func(t *testing.T) {
		is, table := is.New(t), &neighbour.Table{}
		table.Set([]neighbour.Router{router("1", 200), router("2", 800)})
		is.Equal(choose(table, now, reports{"1": 100, "2": 100}, 50), map[cell.HostID]int{"1": 10, "2": 40})
		is.Equal(choose(table, now, reports{"1": 100, "2": 500}, 10), map[cell.HostID]int{"1": 10})
	})
	t.Run("none above the maximum load", func(t *testing.T) {
		is, table := is.New(t), &neighbour.Table{}
		table.Set([]neighbour.Router{router("1", 200), router("2", 800)})
		is.Equal(choose(table, now, reports{"1": 790, "2": 700}, 100), map[cell.HostID]int{"2": 19})
		is.Equal(choose(table, now.Add(300*time.Millisecond), reports{"1": 790, "2": 700}, 100), map[cell.HostID]int{"2": 19})
	})
	t.Run("none with a load close to this router's", func(t *testing.T) {
		is, table := is.New(t), &neighbour.Table{}
		table.Set([]neighbour.Router{router("1", 200)})
		_, ok := table.Choose(now, 600, reports{"1": 440}.load)
		is.True(!ok)
		_, ok = table.Choose(now, 600, reports{"1": 400}.load)
		is.True(ok)
	})
	t.Run("a router that refuses is skipped for a second", func(t *testing.T) {
		is, table := is.New(t), &neighbour.Table{}
		table.Set([]neighbour.Router{router("1", 200), router("2", 200)})
		loads := reports{"1": 0, "2": 0}
		is.Equal(choose(table, now, loads, 2), map[cell.HostID]int{"1": 1, "2": 1})
		table.RecordEnd(now, router("1", 200).Address, false)
		is.Equal(choose(table, now, loads, 4), map[cell.HostID]int{"2": 4})
		is.Equal(choose(table, now.Add(time.Second), loads, 4), map[cell.HostID]int{"1": 2, "2": 2})
	})
	t.Run("all are skipped or unreachable", func(t *testing.T) {
		is, table := is.New(t), &neighbour.Table{}
		is.Equal(len(choose(table, now, reports{}, 1)), 0)
		table.Set([]neighbour.Router{router("1", 200)})
		is.Equal(len(choose(table, now, reports{}, 1)), 0)
		table.RecordEnd(now, router("1", 200).Address, false)
		is.Equal(len(choose(table, now, reports{"1": 0}, 1)), 0)
	})
	t.Run("pending connections survive a new list", func(t *testing.T) {
		is, table := is.New(t), &neighbour.Table{}
		loads := reports{"1": 0, "2": 0}
		table.Set([]neighbour.Router{router("1", 200)})
		choose(table, now, loads, 10)
		table.Set([]neighbour.Router{router("1", 200), router("2", 200)})
		is.Equal(choose(table, now, loads, 10), map[cell.HostID]int{"2": 10})
	})
}

func TestChooseRemote(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		own     int
		reports reports
		want    cell.HostID // want is the selected host; empty if none is.
	}{
		{"a router of this data centre comes first", full, reports{"1": 740, "8": 0}, "1"},
		{"no router of this data centre has spare capacity", full, reports{"1": 800, "8": 0}, "8"},
		{"no router of this data centre can be reached", full, reports{"8": 0}, "8"},
		{"the router with the least load", full, reports{"1": full, "8": 200, "9": 100}, "9"},
		{"only a router with much spare capacity", full, reports{"1": full, "8": 390, "9": 400}, "8"},
		{"none has much spare capacity", full, reports{"1": full, "8": 400, "9": 400}, ""},
		{"this router has spare capacity", 799, reports{"1": 700, "8": 0}, ""},
		{"this router has no spare capacity", 800, reports{"1": 700, "8": 0}, "8"},
		{"a router that shuts down", full, reports{"1": full, "8": full}, ""},
		{"none of other data centres can be reached", full, reports{"1": full}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, table := is.New(t), &neighbour.Table{}
			table.Set([]neighbour.Router{away("8", 800, "b"), away("9", 800, "c"), router("1", 800)})
			got, ok := table.Choose(now, c.own, c.reports.load)
			is.Equal(got.Host, c.want)
			is.Equal(ok, c.want != "")
		})
	}
	t.Run("pending connections add to the load", func(t *testing.T) {
		is, table := is.New(t), &neighbour.Table{}
		table.Set([]neighbour.Router{router("1", 800), away("8", 800, "b")})
		is.Equal(choose(table, now, reports{"1": 795, "8": 300}, 100), map[cell.HostID]int{"8": 19})
	})
	t.Run("a refusal in this data centre sends nothing to others", func(t *testing.T) {
		is, table := is.New(t), &neighbour.Table{}
		table.Set([]neighbour.Router{router("1", 800), away("8", 800, "b")})
		table.RecordEnd(now, router("1", 800).Address, false)
		is.Equal(len(choose(table, now, reports{"1": 0, "8": 0}, 10)), 0)
	})
	t.Run("a router that refuses is skipped for a second", func(t *testing.T) {
		is, table := is.New(t), &neighbour.Table{}
		table.Set([]neighbour.Router{away("8", 800, "b")})
		table.RecordEnd(now, router("8", 800).Address, false)
		is.Equal(len(choose(table, now, reports{"8": 0}, 1)), 0)
		is.Equal(len(choose(table, now.Add(time.Second), reports{"8": 0}, 1)), 1)
	})
}

func TestNearestRemote(t *testing.T) {
	nearest := func(self string, routers []neighbour.Router, most int) (hosts []cell.HostID) {
		for _, one := range neighbour.Nearest(cell.HostID(self), routers, 1, most) {
			hosts = append(hosts, one.Host)
		}
		return hosts
	}
	sorted := func(hosts []cell.HostID) []cell.HostID { return slices.Sorted(slices.Values(hosts)) }
	t.Run("in addition to those of this data centre", func(t *testing.T) {
		is := is.New(t)
		routers := []neighbour.Router{router("1", 200), router("2", 200), away("8", 800, "b"), away("9", 200, "b")}
		is.Equal(nearest("3", routers, 6), []cell.HostID{"1", "8", "9"})
		is.Equal(nearest("3", routers, 0), []cell.HostID{"1"})
	})
	t.Run("the largest of each data centre, then the second largest", func(t *testing.T) {
		is := is.New(t)
		routers := []neighbour.Router{
			away("1", 200, "b"), away("2", 800, "b"), away("3", 700, "b"), away("4", 200, "c"), away("5", 300, "c"), away("6", 100, "d"),
		}
		is.Equal(sorted(nearest("9", routers, 3)), []cell.HostID{"2", "5", "6"})
		is.Equal(nearest("9", routers, 4), []cell.HostID{"2", "5", "6", "3"})
		is.Equal(len(nearest("9", routers, 10)), len(routers))
	})
	t.Run("equal routers are selected by about as many hosts", func(t *testing.T) {
		const hosts, most, mean = 60, 6, 6 // Each host selects 6 routers, so each router is selected by 6 hosts on average.
		is := is.New(t)
		place := func(n int) string { return string(rune('a' + n%4)) }
		count := map[cell.HostID]int{}
		for self := range hosts {
			var routers []neighbour.Router
			for n := range hosts {
				if place(n) != place(self) {
					routers = append(routers, away(strconv.Itoa(n), 200, place(n)))
				}
			}
			for _, one := range nearest(strconv.Itoa(self), routers, most) {
				count[one]++
			}
		}
		is.Equal(len(count), hosts)
		is.True(slices.Max(slices.Collect(maps.Values(count))) <= 2*mean)
	})
	t.Run("a router that leaves changes no other selection", func(t *testing.T) {
		is := is.New(t)
		var routers []neighbour.Router
		for n := range 40 {
			routers = append(routers, away(strconv.Itoa(n), 200, string(rune('b'+n%3))))
		}
		before := nearest("90", routers, 6)
		gone := slices.IndexFunc(routers, func(one neighbour.Router) bool { return one.Host == before[2] })
		after := nearest("90", slices.Delete(routers, gone, gone+1), 6)
		kept := slices.DeleteFunc(before, func(host cell.HostID) bool { return !slices.Contains(after, host) })
		is.Equal(len(kept), 5)
	})
}

func TestNearest(t *testing.T) {
	is := is.New(t)
	routers := []neighbour.Router{router("1", 200), router("2", 200), router("4", 200), router("5", 200), router("9", 800)}
	var hosts []cell.HostID
	for _, one := range neighbour.Nearest("3", routers, 4, 2) {
		hosts = append(hosts, one.Host)
	}
	is.Equal(hosts, []cell.HostID{"9", "4", "5", "1"}) // The largest, those that follow "3" by name, and then the first name.
	is.Equal(len(neighbour.Nearest("3", nil, 4, 2)), 0)
}
