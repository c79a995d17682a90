// Package estimator measures the resource use of the system's processes at several sizes and fits lines to the results,
// from which docs/CAPACITY.md extrapolates to larger sizes.
package estimator

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is the mean resource use per process of one role at one size.
type Point struct {
	// Size is the value of the varied quantity, for example the number of entries.
	Size float64 `json:"size"`
	// CPU is the use of a CPU core in percent.
	CPU float64 `json:"cpu"`
	// Memory is the resident set size in MB.
	Memory float64 `json:"memory"`
	// Sent and Received are the mesh traffic in KB per second.
	Sent     float64 `json:"sent"`
	Received float64 `json:"received"`
}

// Series is a series of measurements of one role in which one quantity varies.
type Series struct {
	// Step is the name of the varied quantity, Fixed describes the constant ones.
	Step   string  `json:"step"`
	Fixed  string  `json:"fixed"`
	Role   string  `json:"role"`
	Points []Point `json:"points"`
}

// Fit is the least-squares line of one metric of a series.
type Fit struct {
	Slope     float64
	Intercept float64
	// Residual is the largest vertical distance between a point and the line.
	Residual float64
}

// Line fits a line to one metric of the series as a function of the size.
func (s *Series) Line(metric func(Point) float64) Fit {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.Size, metric(p)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Slope: slope, Intercept: intercept}
	for i := range xs {
		f.Residual = max(f.Residual, math.Abs(ys[i]-intercept-slope*xs[i]))
	}
	return f
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

var pointMetrics = []struct {
	name string
	of   func(Point) float64
}{
	{"cpu %", func(p Point) float64 { return p.CPU }},
	{"memory MB", func(p Point) float64 { return p.Memory }},
	{"sent KB/s", func(p Point) float64 { return p.Sent }},
	{"received KB/s", func(p Point) float64 { return p.Received }},
}

// Print writes the points and the fitted lines of the series as a table.
func (s *Series) Print(w io.Writer) {
	fmt.Fprintf(w, "\n%s by %s (%s)\n", s.Role, s.Step, s.Fixed)
	fmt.Fprintf(w, "%8s %8s %10s %10s %14s\n", s.Step, "cpu %", "memory MB", "sent KB/s", "received KB/s")
	for _, p := range s.Points {
		fmt.Fprintf(w, "%8.0f %8.3f %10.1f %10.3f %14.3f\n", p.Size, p.CPU, p.Memory, p.Sent, p.Received)
	}
	for _, metric := range pointMetrics {
		f := s.Line(metric.of)
		fmt.Fprintf(w, "  %-14s = %9.4f + %9.5f x %s, largest residual %.4f\n", metric.name, f.Intercept, f.Slope, s.Step, f.Residual)
	}
}
