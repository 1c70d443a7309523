// This file defines the page and its charts.

package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth     = 14 * vg.Centimeter
	chartHeight    = 6 * vg.Centimeter
	barWidth       = 14   // points
	legendHeadroom = 1.6  // height of the axis relative to the highest value, where a chart can have a legend
	labelSize      = 8    // points
	rounding       = 1000 // table cells are rounded to 1/1000
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// NamedResult is a result with the name of its file.
type NamedResult struct {
	File string
	Result
}

// page is the input of the template.
type page struct {
	Title   string
	Results []NamedResult
	Groups  []pageGroup
	Curves  []template.HTML
}

// pageGroup is a group of the first result, with the same group of the other results.
type pageGroup struct {
	Name   string
	Header []string // columns after the name of the figure
	Rows   []pageRow
	Charts []template.HTML // of the figures with a value above zero
}

type pageRow struct {
	Figure string
	Cells  []string
}

// Write writes a page that shows the results side by side. It shows the groups and figures of the first result. Cells
// of figures that another result does not have are empty.
func Write(w io.Writer, results ...NamedResult) error {
	if len(results) == 0 {
		return ErrNoFigures
	}
	p := page{Title: results[0].Name, Results: results}
	if p.Title == "" {
		p.Title = results[0].File
	}
	for _, g := range results[0].Groups {
		group, err := newPageGroup(g, results)
		if err != nil {
			return err
		}
		p.Groups = append(p.Groups, group)
	}
	for _, r := range results {
		for _, c := range r.Curves {
			chart, err := drawCurves(r.File, len(results) > 1, c)
			if err != nil {
				return fmt.Errorf("chart of %s: %w", c.Name, err)
			}
			p.Curves = append(p.Curves, chart)
		}
	}
	return pageTemplate.Execute(w, p)
}

func newPageGroup(g Group, results []NamedResult) (pageGroup, error) {
	out := pageGroup{Name: g.Name}
	for _, r := range results {
		for _, name := range g.Series {
			if len(results) > 1 {
				name = r.File + ": " + name
			}
			out.Header = append(out.Header, name)
		}
	}
	for _, row := range g.Rows {
		sets := valuesOf(g, row, results)
		out.Rows = append(out.Rows, pageRow{Figure: row.Figure, Cells: cells(sets)})
		if !anyPositive(sets) {
			continue
		}
		chart, err := drawBars(row.Figure, g.Series, results, sets)
		if err != nil {
			return out, fmt.Errorf("chart of %s: %w", row.Figure, err)
		}
		out.Charts = append(out.Charts, chart)
	}
	return out, nil
}

// valuesOf returns the values of one figure by result and series. They are nil for a result without the figure.
func valuesOf(g Group, row Row, results []NamedResult) [][]float64 {
	sets := make([][]float64, len(results))
	for i, r := range results {
		sets[i] = r.row(g, row.Figure)
	}
	return sets
}

// row returns the values of a figure of group g in the order of g's series, or nil if r does not have it.
func (r Result) row(g Group, figure string) []float64 {
	for _, other := range r.Groups {
		if other.Name != g.Name {
			continue
		}
		for _, row := range other.Rows {
			if row.Figure == figure {
				return reorder(g.Series, other.Series, row.Values)
			}
		}
	}
	return nil
}

// reorder returns values, which are in the order of the names in have, in the order of want. A missing value is zero.
func reorder(want, have []string, values []float64) []float64 {
	out := make([]float64, len(want))
	for i, name := range want {
		for j, other := range have {
			if other == name {
				out[i] = values[j]
			}
		}
	}
	return out
}

func cells(sets [][]float64) []string {
	n := len(sets[0])
	var out []string
	for _, set := range sets {
		for i := range n {
			if set == nil {
				out = append(out, "")
				continue
			}
			out = append(out, strconv.FormatFloat(math.Round(set[i]*rounding)/rounding, 'f', -1, 64))
		}
	}
	return out
}

func anyPositive(sets [][]float64) bool {
	for _, set := range sets {
		for _, v := range set {
			if v > 0 {
				return true
			}
		}
	}
	return false
}

// drawBars draws one figure as bars by series, with one color for each result.
func drawBars(figure string, series []string, results []NamedResult, sets [][]float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = figure
	p.Y.Min = 0
	for i, set := range sets {
		if set == nil {
			continue
		}
		bars, err := plotter.NewBarChart(plotter.Values(set), vg.Points(barWidth))
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(sets)-1)/2))
		p.Add(bars)
		if len(sets) > 1 {
			p.Legend.Add(results[i].File, bars)
		}
	}
	if len(sets) > 1 {
		p.Y.Max *= legendHeadroom
	}
	p.Legend.Top = true
	p.X.Tick.Label.Font.Size = vg.Points(labelSize)
	p.NominalX(series...)
	return render(p)
}

// drawCurves draws lines over time, or the buckets of a histogram as bars.
func drawCurves(file string, withFile bool, c Curves) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = c.Name
	if withFile {
		p.Title.Text = file + ": " + c.Name
	}
	p.Y.Min = 0
	p.X.Label.Text = axisLabels[c.Axis]
	p.X.Tick.Label.Font.Size = vg.Points(labelSize)
	p.Legend.Top = true
	var err error
	if c.Axis == boundMember {
		err = addBuckets(p, c)
	} else {
		err = addLines(p, c)
	}
	if err != nil {
		return "", err
	}
	p.Y.Max *= legendHeadroom
	return render(p)
}

var axisLabels = map[string]string{timeMember: "seconds", boundMember: "up to ms"}

func addLines(p *plot.Plot, c Curves) error {
	for i, line := range c.Lines {
		points := make(plotter.XYs, len(c.X))
		for j := range points {
			points[j] = plotter.XY{X: c.X[j] / 1000, Y: line.Y[j]}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		p.Legend.Add(line.Name, l)
	}
	return nil
}

func addBuckets(p *plot.Plot, c Curves) error {
	for i, line := range c.Lines {
		bars, err := plotter.NewBarChart(plotter.Values(line.Y), vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		p.Add(bars)
	}
	var names []string
	for _, x := range c.X {
		names = append(names, strconv.FormatFloat(x, 'f', -1, 64))
	}
	p.NominalX(names...)
	return nil
}

// render returns a plot as an SVG element for HTML.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var b strings.Builder
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	return template.HTML(withoutProlog(b.String())), nil
}

// withoutProlog removes the XML declaration, which is not allowed inside HTML.
func withoutProlog(svg string) string {
	if i := strings.Index(svg, "<svg"); i > 0 {
		return svg[i:]
	}
	return svg
}
