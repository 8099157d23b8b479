package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 20 * vg.Centimeter
	plotWindow = time.Second
)

// Plot draws service by team and utilisation over time, with the leave and
// return of the data centre marked, as SVG.
func (r *Result) Plot() (io.WriterTo, error) {
	service, err := r.servicePlot()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	use, err := r.utilisationPlot()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter / 2}
	for row, one := range []*plot.Plot{service, use} {
		one.Draw(tiles.At(draw.New(canvas), 0, row))
	}
	return canvas, nil
}

func (r *Result) servicePlot() (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = fmt.Sprintf("%s, %s", r.Deployment.Name, r.Mode.Name)
	drawn.Y.Label.Text = "tokens / share"
	drawn.Legend.Top, drawn.Legend.Left = true, true
	for i, series := range r.service() {
		line, err := plotter.NewLine(r.points(series, sampleStep))
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / 7)
		drawn.Add(line)
		drawn.Legend.Add(Teams()[i].Name, line)
	}
	drawn.Legend.TextStyle.Font.Size = vg.Points(6)
	marks, err := r.mark(drawn)
	if err != nil {
		return nil, err
	}
	drawn.Legend.Add("data centre leaves", marks[0])
	drawn.Legend.Add("data centre returns", marks[1])
	return drawn, nil
}

func (r *Result) utilisationPlot() (*plot.Plot, error) {
	drawn := plot.New()
	drawn.X.Label.Text = "seconds"
	drawn.Y.Label.Text = "slots in use"
	drawn.Y.Min, drawn.Y.Max = 0, 1.05
	var series []float64
	for from := r.Script.Settled; from+plotWindow <= r.Script.End; from += plotWindow {
		series = append(series, r.utilisation(r.Fleet.Engines, from, from+plotWindow))
	}
	line, err := plotter.NewLine(r.points(series, plotWindow))
	if err != nil {
		return nil, err
	}
	drawn.Add(line)
	_, err = r.mark(drawn)
	return drawn, err
}

func (r *Result) points(series []float64, step time.Duration) plotter.XYs {
	points := make(plotter.XYs, len(series))
	for i, value := range series {
		points[i].X = (r.Script.Settled + time.Duration(i)*step).Seconds()
		points[i].Y = value
	}
	return points
}

// mark draws a line where the data centre leaves and where it returns.
func (r *Result) mark(drawn *plot.Plot) (marks []*plotter.Line, err error) {
	for i, at := range []time.Duration{r.Script.Out, r.Script.Return} {
		line, err := plotter.NewLine(plotter.XYs{{X: at.Seconds(), Y: drawn.Y.Min}, {X: at.Seconds(), Y: drawn.Y.Max}})
		if err != nil {
			return nil, err
		}
		line.Dashes = plotutil.Dashes(1 + i)
		drawn.Add(line)
		marks = append(marks, line)
	}
	return marks, nil
}
