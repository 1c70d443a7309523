package experiment

import (
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// drawInto draws the rows of charts one above the other.
func drawInto(c vg.CanvasSizer, rows [][]*plot.Plot) {
	tiles := draw.Tiles{Rows: len(rows), Cols: 1, PadY: vg.Centimeter / 2, PadTop: vg.Centimeter / 4, PadBottom: vg.Centimeter / 4, PadLeft: vg.Centimeter / 4, PadRight: vg.Centimeter / 4}
	canvases := plot.Align(rows, tiles, draw.New(c))
	for i, row := range rows {
		row[0].Draw(canvases[i][0])
	}
}

func drawFile(file, format string, rows [][]*plot.Plot) (err error) {
	c, err := draw.NewFormattedCanvas(plotWidth, plotHeight, format)
	if err != nil {
		return fmt.Errorf("creating a canvas for plot format %q: %w", format, err)
	}
	drawInto(c, rows)
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("creating the plot file: %w", err)
	}
	defer func() {
		if cerr := f.Close(); err == nil {
			err = cerr
		}
	}()
	_, err = c.WriteTo(f)
	return err
}
