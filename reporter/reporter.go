// Package reporter collects the measurements of benchmarks into one Markdown page, each with its target and the value of
// the previous run.
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

// resultPrefix marks a line that holds a measurement, so that ReadMeasurements finds it in the output of go test.
const resultPrefix = "RESULT"

// Direction says on which side of its target a value must be.
type Direction string

// Directions of a bound.
const (
	// AtMost makes the target an upper bound.
	AtMost Direction = "at most"
	// AtLeast makes the target a lower bound.
	AtLeast Direction = "at least"
	// NoTarget marks a measurement without a target.
	NoTarget Direction = ""
)

// Measurement is one measured value.
type Measurement struct {
	// Area is the heading on the page, for example "tail latency".
	Area string
	// Description names what is measured and its conditions. Area and Description identify a measurement across runs.
	Description string
	Value       float64
	Unit        string
	Bound       Direction
	// Target is meaningful unless Bound is NoTarget.
	Target float64
}

// Met reports whether the value is on the right side of its target.
func (m Measurement) Met() bool {
	switch m.Bound {
	case AtMost:
		return m.Value <= m.Target
	case AtLeast:
		return m.Value >= m.Target
	}
	return true
}

// logger is the part of testing.TB that Record needs.
type logger interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// Record logs the measurement for the page and fails the test when its target is missed.
func Record(t logger, m Measurement) {
	t.Helper()
	t.Logf("%s\t%s", resultPrefix, m.encode())
	if !m.Met() {
		t.Errorf("%s: %s is %s %s, target %s %s", m.Area, m.Description, formatNumber(m.Value), m.Unit, m.Bound, formatNumber(m.Target))
	}
}

func (m Measurement) encode() string {
	return strings.Join([]string{m.Area, m.Description, formatNumber(m.Value), m.Unit, string(m.Bound), formatNumber(m.Target)}, "\t")
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// ReadMeasurements finds the measurements in the output of go test -v.
func ReadMeasurements(r io.Reader) ([]Measurement, error) {
	var list []Measurement
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, rest, ok := strings.Cut(lines.Text(), resultPrefix+"\t")
		if !ok {
			continue
		}
		m, err := parseMeasurement(rest)
		if err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	return list, lines.Err()
}

func parseMeasurement(line string) (Measurement, error) {
	fields := strings.Split(line, "\t")
	if len(fields) != 6 {
		return Measurement{}, fmt.Errorf("measurement has %d fields, want 6: %q", len(fields), line)
	}
	value, err := strconv.ParseFloat(fields[2], 64)
	target, err2 := strconv.ParseFloat(fields[5], 64)
	if err != nil || err2 != nil {
		return Measurement{}, fmt.Errorf("measurement without numbers: %q", line)
	}
	return Measurement{
		Area: fields[0], Description: fields[1], Value: value, Unit: fields[3], Bound: Direction(fields[4]), Target: target,
	}, nil
}

// WritePage writes the measurements as a Markdown page. previousPage is the page of the previous run, or empty.
func WritePage(w io.Writer, list []Measurement, previousPage string) {
	previous := previousValues(previousPage)
	slices.SortStableFunc(list, func(a, b Measurement) int { return cmp.Compare(a.Area, b.Area) })
	fmt.Fprintln(w, "# Measured results")
	fmt.Fprintln(w, "\nWritten by `make bench`. The earlier figure is that of the page before this one.")
	area := ""
	for _, m := range list {
		if m.Area != area {
			area = m.Area
			fmt.Fprintf(w, "\n## %s\n\n| measurement | figure | target | met | earlier |\n| --- | --- | --- | --- | --- |\n", area)
		}
		target, met := "–", "–"
		if m.Bound != NoTarget {
			target, met = fmt.Sprintf("%s %s %s", m.Bound, formatNumber(m.Target), m.Unit), "no"
			if m.Met() {
				met = "yes"
			}
		}
		value := formatNumber(m.Value) + " " + m.Unit
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s |\n", m.Description, value, target, met, cmp.Or(previous[area+"|"+m.Description], "–"))
	}
}

// previousValues maps area and description to the value on a page that WritePage has written.
func previousValues(page string) map[string]string {
	values := make(map[string]string)
	area := ""
	for line := range strings.Lines(page) {
		if heading, ok := strings.CutPrefix(line, "## "); ok {
			area = strings.TrimSpace(heading)
			continue
		}
		cells := strings.Split(line, "|")
		if len(cells) == 7 {
			values[area+"|"+strings.TrimSpace(cells[1])] = strings.TrimSpace(cells[2])
		}
	}
	return values
}
