// This file renders results as tables and plots.

package experiment

import (
	"fmt"
	"image/color"
	"io"
	"path/filepath"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteTable writes the result as a text table.
func (r *Result) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "policy\trequests\tcompleted\trefused\tstall s\tpreempted\tfirst p95 ms\tgap p95 ms\tgap p99 ms\ttokens/s\tgoodput/s\tcold overloads\t")
	for _, name := range Policies {
		f, ok := r.Policies[name]
		if !ok {
			continue
		}
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%.1f\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t\n", name,
			f.Requests, f.Completed, f.Refused, f.StallSeconds, f.Preemptions, f.FirstTokenP95Ms,
			f.BetweenTokensP95Ms, f.BetweenTokensP99Ms, f.TokensPerSecond, f.GoodputTokensPerSecond, f.ColdOverloads)
	}
	return tw.Flush()
}

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 24 * vg.Centimeter
	barWidth   = 24 // points
)

// panel describes one bar chart of a plot.
type panel struct {
	title string
	value func(*Figures) float64
}

var panels = []panel{
	{"goodput, tokens a second", func(f *Figures) float64 { return f.GoodputTokensPerSecond }},
	{"stall time, seconds", func(f *Figures) float64 { return f.StallSeconds }},
	{"preemptions", func(f *Figures) float64 { return float64(f.Preemptions) }},
	{"first token, p95 in ms", func(f *Figures) float64 { return f.FirstTokenP95Ms }},
}

// SavePlot draws the result as bar charts into a file. The file extension determines the format.
func (r *Result) SavePlot(file string) error {
	format := filepath.Ext(file)
	if format == "" {
		return fmt.Errorf("plot file %q has no extension to determine its format", file)
	}
	rows := make([][]*plot.Plot, len(panels))
	for i, pan := range panels {
		p, err := r.chart(pan)
		if err != nil {
			return err
		}
		rows[i] = []*plot.Plot{p}
	}
	return drawFile(file, format[1:], rows)
}

func (r *Result) chart(pan panel) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = pan.title
	p.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, name := range Policies {
		if f, ok := r.Policies[name]; ok {
			values = append(values, pan.value(f))
			names = append(names, name)
		}
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return nil, fmt.Errorf("chart %q: %w", pan.title, err)
	}
	bars.Color = color.RGBA{R: 0x3b, G: 0x6e, B: 0xa8, A: 0xff}
	p.Add(bars)
	p.NominalX(names...)
	return p, nil
}
