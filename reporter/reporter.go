// Package reporter collects the figures that benchmarks measure into one page, each with its target and the figure
// of the run before.
package reporter

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// mark begins a line that holds a figure, so that it can be found in the output of go test.
const mark = "RESULT"

// Direction says which side of its target a figure must be on.
type Direction string

// Directions of a bound.
const (
	// AtMost bounds the figure from above.
	AtMost Direction = "at most"
	// AtLeast bounds the figure from below.
	AtLeast Direction = "at least"
	// None marks a figure without a target.
	None Direction = ""
)

// Measurement is one measured value.
type Measurement struct {
	// Area is the heading on the page, for example "tail latency".
	Area string
	// Description describes the measurement and its conditions. Area and Description identify a figure across runs.
	Description string
	Value       float64
	Unit        string
	Bound       Direction
	// Target is meaningful unless Bound is None.
	Target float64
}

// Met reports whether the figure is on the right side of its target.
func (f Measurement) Met() bool {
	switch f.Bound {
	case AtMost:
		return f.Value <= f.Target
	case AtLeast:
		return f.Value >= f.Target
	}
	return true
}

// logger is the part of testing.TB that Record needs.
type logger interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// Record prints the figure for the page and fails the test when its target is missed.
func Record(t logger, f Measurement) {
	t.Helper()
	t.Logf("%s\t%s", mark, f.line())
	if !f.Met() {
		t.Errorf("%s: %s is %s %s, target %s %s", f.Area, f.Description, number(f.Value), f.Unit, f.Bound, number(f.Target))
	}
}

func (f Measurement) line() string {
	return strings.Join([]string{f.Area, f.Description, number(f.Value), f.Unit, string(f.Bound), number(f.Target)}, "\t")
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// Read finds the figures in the output of go test -v.
func Read(r io.Reader) ([]Measurement, error) {
	var list []Measurement
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, rest, ok := strings.Cut(lines.Text(), mark+"\t")
		if !ok {
			continue
		}
		f, err := parse(rest)
		if err != nil {
			return nil, err
		}
		list = append(list, f)
	}
	return list, lines.Err()
}

func parse(line string) (Measurement, error) {
	parts := strings.Split(line, "\t")
	if len(parts) != 6 {
		return Measurement{}, fmt.Errorf("figure has %d fields, want 6: %q", len(parts), line)
	}
	value, err := strconv.ParseFloat(parts[2], 64)
	target, err2 := strconv.ParseFloat(parts[5], 64)
	if err != nil || err2 != nil {
		return Measurement{}, fmt.Errorf("figure without numbers: %q", line)
	}
	return Measurement{
		Area: parts[0], Description: parts[1], Value: value, Unit: parts[3], Bound: Direction(parts[4]), Target: target,
	}, nil
}

// Page writes the figures as a page; earlier is the page of the run before, or empty.
func Page(w io.Writer, list []Measurement, earlier string) {
	before := figuresOf(earlier)
	slices.SortStableFunc(list, func(a, b Measurement) int { return cmp.Compare(a.Area, b.Area) })
	fmt.Fprintln(w, "# Measured results")
	fmt.Fprintln(w, "\nWritten by `make bench`. The earlier figure is that of the page before this one.")
	area := ""
	for _, f := range list {
		if f.Area != area {
			area = f.Area
			fmt.Fprintf(w, "\n## %s\n\n| measurement | figure | target | met | earlier |\n| --- | --- | --- | --- | --- |\n", area)
		}
		target, met := "–", "–"
		if f.Bound != None {
			target, met = fmt.Sprintf("%s %s %s", f.Bound, number(f.Target), f.Unit), "no"
			if f.Met() {
				met = "yes"
			}
		}
		figure := number(f.Value) + " " + f.Unit
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s |\n", f.Description, figure, target, met, cmp.Or(before[area+"|"+f.Description], "–"))
	}
}

// figuresOf maps area and measurement to the figure on a page that Page has written.
func figuresOf(page string) map[string]string {
	figures := make(map[string]string)
	area := ""
	for line := range strings.Lines(page) {
		if heading, ok := strings.CutPrefix(line, "## "); ok {
			area = strings.TrimSpace(heading)
			continue
		}
		cells := strings.Split(line, "|")
		if len(cells) == 7 {
			figures[area+"|"+strings.TrimSpace(cells[1])] = strings.TrimSpace(cells[2])
		}
	}
	return figures
}
