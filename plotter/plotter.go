// Package plotter draws benchmark results as SVG files.
package plotter

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 8 * vg.Inch
	height = 4.5 * vg.Inch
)

// Line is one named curve; X and Y have the same length.
type Line struct {
	Name string
	X, Y []float64
}

// Chart is the content of one SVG file.
type Chart struct {
	Title string
	// XLabel and YLabel are axis labels with units.
	XLabel, YLabel string
	Lines          []Line
	// LogY draws the Y axis with a logarithmic scale; all values must then be positive.
	LogY bool
	// Marks are drawn as vertical lines.
	Marks []Mark
}

// Mark is a named event at a position on the X axis.
type Mark struct {
	X    float64
	Name string
}

// OutputDir returns the output folder for charts from the environment variable PLOTS, or "" when no charts are wanted.
func OutputDir() string { return os.Getenv("PLOTS") }

// Write draws the chart as FOLDER/NAME.svg.
func Write(folder, name string, c Chart) error {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.XLabel
	p.Y.Label.Text = c.YLabel
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for i, l := range c.Lines {
		if err := addLine(p, l, i); err != nil {
			return errors.Annotatef(err, "line %q", l.Name)
		}
	}
	for i, m := range c.Marks {
		if err := addMark(p, m, len(c.Lines)+i); err != nil {
			return errors.Annotatef(err, "mark %q", m.Name)
		}
	}
	if c.LogY {
		p.Y.Scale = plot.LogScale{}
		p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	} else {
		p.Y.Min = 0
	}
	return errors.Trace(p.Save(width, height, filepath.Join(folder, name+".svg")))
}

func addLine(p *plot.Plot, l Line, style int) error {
	if len(l.X) != len(l.Y) || len(l.X) == 0 {
		return errors.Errorf("%d x values and %d y values", len(l.X), len(l.Y))
	}
	points := make(plotter.XYs, len(l.X))
	for i := range l.X {
		points[i].X, points[i].Y = l.X[i], l.Y[i]
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Trace(err)
	}
	line.Color = plotutil.Color(style)
	// Dashes keep the lines distinguishable without colour.
	line.Dashes = plotutil.Dashes(style)
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(l.Name, line)
	return nil
}

func addMark(p *plot.Plot, m Mark, style int) error {
	line, err := plotter.NewLine(plotter.XYs{{X: m.X, Y: p.Y.Min}, {X: m.X, Y: p.Y.Max}})
	if err != nil {
		return errors.Trace(err)
	}
	line.Color = plotutil.Color(style)
	line.Dashes = plotutil.Dashes(style)
	p.Add(line)
	p.Legend.Add(m.Name, line)
	return nil
}
