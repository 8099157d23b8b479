package main

import (
	"bufio"
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"ryelug/cmd/ryelug/command"
	"ryelug/core/cell"
	"ryelug/core/shortfall"
	"ryelug/io/operator"
)

const (
	// shareSpan is the number of seconds over which a team is promised its part.
	shareSpan = 6
	// longestLine bounds a log line; a goroutine's stack may stand in one.
	longestLine = 1 << 20
	// inDispatcher is the place of what a dispatcher refuses.
	inDispatcher = "dispatcher"
	// tokensShown is the unit of the table's costs.
	tokensShown = 1000
)

// sharesCommand tells from the logs of a fleet which part of its due each team got.
type sharesCommand struct {
	from io.Reader // from is standard input if it is nil.
	span int
}

// Text returns what the command says of itself.
func (*sharesCommand) Text() command.Text {
	return command.Text{
		Name:     "shares",
		Synopsis: "tell from the logs of all routers who got the least part of its due",
		Usage: `shares [-seconds N]

Read log lines of all routers of a fleet from standard input, and print for each team the
span of N seconds in which it got the least part of its due. Anything may stand before a line.

A team is due what it asked for, but no more than the team served best got in the same second.
A span counts if requests of the team were refused in each of its seconds. "plain" is what it
got of its due, "part" the same without its three largest requests; below 0.5 the promise is
broken. Costs are in thousands of tokens. Beside them stands where requests were lost, and how.
What a router never read, or a caller gave up before it was refused, is not in the logs.

Example:
  cat logs/*.log | ryelug shares
`,
	}
}

// SetFlags sets the flags.
func (c *sharesCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&c.span, "seconds", shareSpan, "`length` of a span in seconds")
}

// Run implements command.Action.
func (c *sharesCommand) Run(_ context.Context, flags *flag.FlagSet, to command.Streams) error {
	if err := command.NoArguments(flags); err != nil {
		return err
	}
	if c.span < 1 {
		return command.UsageError("-seconds is %d, and must be 1 or more", c.span)
	}
	from := c.from
	if from == nil {
		from = os.Stdin
	}
	read, err := readSums(from)
	if err != nil {
		return err
	}
	return read.print(to.Out, c.span)
}

// sums is what the logs tell.
type sums struct {
	table   *shortfall.Table
	first   time.Time // first is the earliest second.
	last    time.Time
	lines   int
	unknown int // unknown counts lines that could not be read.
}

// readSums reads the lines on teams; other lines are passed over unread.
func readSums(from io.Reader) (*sums, error) {
	read := &sums{table: shortfall.New()}
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		text := lines.Text()
		if !strings.Contains(text, operator.TeamLine) && !strings.Contains(text, operator.EarlySumLine) {
			continue
		}
		line, err := operator.ReadLine(text)
		if err == nil {
			err = read.add(line)
		}
		if err != nil {
			read.unknown++
		}
	}
	return read, lines.Err()
}

// add adds the sum of a line; requests without a team are left out.
func (s *sums) add(line *operator.Line) error {
	var sum shortfall.Sum
	switch line.Message {
	case operator.TeamLine:
		sum = dispatcherSum(line)
	case operator.EarlySumLine:
		sum = entrySum(line)
	default:
		return nil
	}
	team, second := cell.TeamID(line.Text("team")), line.Second("second")
	if err := line.Err(); err != nil {
		return err
	}
	s.lines++
	if team == "" || team == cell.NoTeam {
		return nil
	}
	if s.first.IsZero() || second.Before(s.first) {
		s.first = second
	}
	if second.After(s.last) {
		s.last = second
	}
	s.table.Add(team, second, sum)
	return nil
}

func dispatcherSum(line *operator.Line) shortfall.Sum {
	return shortfall.Sum{
		Asked: cell.Cost(line.Int("asked_cost")), Received: cell.Cost(line.Int("granted_cost")), Largest: cell.Cost(line.Int("largest")),
		Lost: map[shortfall.Loss]int{
			{Where: inDispatcher, How: "at_once"}: int(line.Int("refused_at_once")),
			{Where: inDispatcher, How: "later"}:   int(line.Int("refused_later")),
		},
	}
}

func entrySum(line *operator.Line) shortfall.Sum {
	return shortfall.Sum{
		Asked: cell.Cost(line.Int("cost")), Largest: cell.Cost(line.Int("largest")),
		Lost: map[shortfall.Loss]int{{Where: line.Text("data_centre"), How: line.Text("code")}: int(line.Int("count"))},
	}
}

// print writes the table of the teams' least spans.
func (s *sums) print(to io.Writer, span int) error {
	fmt.Fprintf(to, "%d lines on %d teams from %s to %s, %d lines not read\n", s.lines, len(s.table.Teams()),
		clockTime(s.first), clockTime(s.last), s.unknown)
	least := s.table.WorstSpans(span)
	if len(least) == 0 {
		fmt.Fprintf(to, "no team was refused something in each of %d seconds\n", span)
		return nil
	}
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "part\tplain\tteam\tfrom\tasked\tdue\tgot\tlost")
	for i := range least {
		one := &least[i]
		fmt.Fprintf(table, "%.2f\t%.2f\t%s\t%s\t%d\t%d\t%d\t%s\n", one.Fraction(), one.RawFraction(), one.Team, clockTime(one.From),
			one.Asked/tokensShown, one.Owed/tokensShown, one.Received/tokensShown, losses(one.Lost))
	}
	return table.Flush()
}

func clockTime(at time.Time) string { return at.UTC().Format(time.TimeOnly) }

// losses lists where requests were lost, the most first.
func losses(lost map[shortfall.Loss]int) string {
	keys := slices.SortedFunc(maps.Keys(lost), func(a, b shortfall.Loss) int {
		return cmp.Or(cmp.Compare(lost[b], lost[a]), cmp.Compare(a.Where, b.Where), cmp.Compare(a.How, b.How))
	})
	var parts []string
	for _, key := range keys {
		if lost[key] > 0 {
			parts = append(parts, fmt.Sprintf("%s %s %d", key.Where, key.How, lost[key]))
		}
	}
	return strings.Join(parts, ", ")
}
