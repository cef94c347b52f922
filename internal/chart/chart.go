// Package chart draws what was measured: a grid of charts of lines, as SVG.
package chart

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Chart has a line for each name: its values at 0, 1, 2 and so on, such as seconds.
type Chart struct {
	Title, X string
	Lines    map[string][]float64
}

// The size of one.
const (
	width  = 8 * vg.Centimeter
	height = 6 * vg.Centimeter
)

// Write writes rows of charts, as many in each, to a file.
func Write(file string, rows [][]Chart) error {
	if len(rows) == 0 || len(rows[0]) == 0 {
		return fmt.Errorf("%s: there is nothing to draw", file)
	}
	var grid [][]*plot.Plot
	for _, row := range rows {
		var plots []*plot.Plot
		for _, c := range row {
			p := plot.New()
			p.Title.Text, p.X.Label.Text, p.Y.Min = c.Title, c.X, 0
			for i, name := range slices.Sorted(maps.Keys(c.Lines)) {
				var points plotter.XYs
				for x, y := range c.Lines[name] {
					points = append(points, plotter.XY{X: float64(x), Y: y})
				}
				line, err := plotter.NewLine(points)
				if err != nil {
					return fmt.Errorf("%s, %s: %w", c.Title, name, err)
				}
				line.Color = plotutil.Color(i)
				p.Add(line)
				p.Legend.Add(name, line)
			}
			plots = append(plots, p)
		}
		grid = append(grid, plots)
	}
	canvas := vgsvg.New(vg.Length(len(rows[0]))*width, vg.Length(len(rows))*height)
	tiles := draw.Tiles{Rows: len(rows), Cols: len(rows[0]), PadX: vg.Millimeter, PadY: vg.Millimeter}
	for i, row := range plot.Align(grid, tiles, draw.New(canvas)) {
		for j, at := range row {
			grid[i][j].Draw(at)
		}
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
