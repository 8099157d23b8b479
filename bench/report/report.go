package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"ryelug/bench"
)

// WriteTable prints measures side by side, one column a run.
func WriteTable(out io.Writer, all []bench.Measures) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, form string, value func(bench.Measures) any) {
		fmt.Fprint(table, name)
		for _, m := range all {
			fmt.Fprintf(table, "\t"+form, value(m))
		}
		fmt.Fprintln(table)
	}
	row("deployment", "%s", func(m bench.Measures) any { return m.Deployment })
	row("mode", "%s", func(m bench.Measures) any { return m.Mode })
	row("fairness gap, largest", "%.1f", func(m bench.Measures) any { return m.GapMost })
	row("fairness gap, 99th percentile", "%.1f", func(m bench.Measures) any { return m.GapP99 })
	row("fairness gap, derived bound", "%.1f", func(m bench.Measures) any { return m.GapBound })
	row("utilisation while work waits", "%.4f", func(m bench.Measures) any { return m.Utilisation })
	row("utilisation, derived bound", "%.4f", func(m bench.Measures) any { return m.UtilisationBound })
	row("control bytes a node and second, mean", "%.0f", func(m bench.Measures) any { return m.Control.BytesMean })
	row("control bytes a node and second, busiest", "%.0f", func(m bench.Measures) any { return m.Control.BytesMost })
	row("control messages a node and second", "%.1f", func(m bench.Measures) any { return m.Control.Messages })
	row("platform calls of the fleet a second", "%.1f", func(m bench.Measures) any { return m.Control.PlatformCalls })
	row("processor ms a node and second, stand-ins included", "%.2f", func(m bench.Measures) any { return m.ProcessorTime })
	row("refusals from the leave on", "%v", func(m bench.Measures) any { return m.LeaveRefusals })
	row("answers cut from the leave on", "%d", func(m bench.Measures) any { return m.LeaveCut })
	row("last new work after the leave, s", "%.2f", func(m bench.Measures) any { return m.LastWorkAfter })
	row("utilisation of the rest meanwhile", "%.4f", func(m bench.Measures) any { return m.UtilisationLeft })
	row("longest stall of a team, s", "%.2f", func(m bench.Measures) any { return m.LongestStall })
	row("full use after the return, s", "%.1f", func(m bench.Measures) any { return m.FullUseAfter })
	row("full use, derived bound, s", "%.1f", func(m bench.Measures) any { return m.FullUseBound })
	row("admissions above a limit in force", "%d", func(m bench.Measures) any { return m.ColdExcess })
	row("first token after queueing, ms, 50th", "%.1f", func(m bench.Measures) any { return m.FirstTokenAdded.P50 })
	row("first token after queueing, ms, 99th", "%.1f", func(m bench.Measures) any { return m.FirstTokenAdded.P99 })
	row("whole answers", "%d", func(m bench.Measures) any { return m.Served })
	_ = table.Flush()
}

// WriteJSON writes a value into a file of a directory.
func WriteJSON(directory, name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(directory, name), append(data, '\n'), 0o644))
}

// WritePlot writes a plot into a file of a directory.
func WritePlot(directory, name string, plot io.WriterTo) error {
	file, err := os.Create(filepath.Join(directory, name))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := plot.WriteTo(file); err != nil {
		_ = file.Close()
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(file.Close())
}
