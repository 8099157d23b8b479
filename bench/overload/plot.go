package overload

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the part of the worth by second of arrival, a line for each policy, as SVG.
func Plot(to io.Writer, all []*Measures) error {
	drawn := plot.New()
	drawn.X.Label.Text, drawn.Y.Label.Text = "seconds", "part of the worth"
	drawn.Y.Min, drawn.Y.Max = 0, 1.05
	drawn.Legend.TextStyle.Font.Size = vg.Points(7)
	for i, m := range all {
		points := make(plotter.XYs, len(m.PerSpan))
		for second, part := range m.PerSpan {
			points[second] = plotter.XY{X: float64(second), Y: part}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		drawn.Add(line)
		drawn.Legend.Add(m.Policy, line)
	}
	drawing, err := drawn.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return err
	}
	_, err = drawing.WriteTo(to)
	return err
}
