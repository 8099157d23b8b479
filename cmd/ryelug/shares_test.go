package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ryelug/cmd/ryelug/command"
)

const firstSecond = 1787199810 // 04:23:30 by the clock

// dispatcherLine is a dispatcher's line on a team in a second, as the bench hands it on.
func dispatcherLine(second int, team string, asked, granted, refused int) string {
	return fmt.Sprintf(`  %d.0088 front-d-2 {"time":"2026-08-20T04:23:30Z","level":"info","msg":"dispatch: The requests of a team in a second.",`+
		`"asked":9,"asked_cost":%d,"cell":"c","granted":2,"granted_cost":%d,"largest":1,"refused_at_once":%d,"refused_later":0,"second":%d,"team":"%s"}`,
		second, asked, granted, refused, firstSecond+second, team)
}

// entryLine is an entry's line on what it refused, in text.
func entryLine(second int, team string, cost, count int) string {
	return fmt.Sprintf(`time="2026-08-20T04:23:30Z" level=info msg="request: Requests of a team were refused before anything was asked for." `+
		`code=overloaded cost=%d count=%d data_centre=dc-a in_ms=1000 largest=1 second=%d team=%s`, cost, count, firstSecond+second, team)
}

// assertShares checks that the table over some lines has a row.
func assertShares(t *testing.T, lines []string, want ...string) {
	t.Helper()
	is := is.New(t)
	one := &sharesCommand{from: strings.NewReader(strings.Join(lines, "\n"))}
	flags := flag.NewFlagSet("shares", flag.ContinueOnError)
	one.SetFlags(flags)
	var out bytes.Buffer
	is.NoErr(one.Run(context.Background(), flags, command.Streams{Out: &out}))
	for _, row := range strings.Split(out.String(), "\n") {
		if strings.Join(strings.Fields(row), " ") == strings.Join(want, " ") {
			return
		}
	}
	t.Errorf("no row %q in\n%s", strings.Join(want, " "), out.String())
}

func TestShares(t *testing.T) {
	t.Run("refused by entries and by the dispatcher", func(t *testing.T) {
		lines := []string{"built in 6.8 s", "{}"}
		for second := range shareSpan {
			lines = append(lines, dispatcherLine(second, "big", 900_000, 400_000, 3), dispatcherLine(second, "small", 50_000, 30_000, 1),
				entryLine(second, "small", 50_000, 4))
		}
		assertShares(t, lines, "0.30 0.30 small 04:23:30 600 600 180 dc-a overloaded 24, dispatcher at_once 6")
		assertShares(t, lines, "1.00 1.00 big 04:23:30 5400 2400 2400 dispatcher at_once 18")
	})
	t.Run("nothing refused", func(t *testing.T) {
		assertShares(t, []string{dispatcherLine(0, "big", 1, 1, 0)}, "no team was refused something in each of 6 seconds")
	})
	t.Run("no lines", func(t *testing.T) {
		assertShares(t, nil, "no team was refused something in each of 6 seconds")
	})
	t.Run("torn line", func(t *testing.T) {
		assertShares(t, []string{dispatcherLine(0, "big", 1, 1, 0)[:150], dispatcherLine(0, "big", 1, 1, 0)},
			"1 lines on 1 teams from 04:23:30 to 04:23:30, 1 lines not read")
	})
	t.Run("requests without a team", func(t *testing.T) {
		assertShares(t, []string{entryLine(0, `""`, 5, 5), dispatcherLine(0, "-", 1, 0, 1)},
			"2 lines on 0 teams from 00:00:00 to 00:00:00, 0 lines not read")
	})
}
