package plotter

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWrite(t *testing.T) {
	dir := t.TempDir()
	chart := Chart{Title: "t", XLabel: "load (%)", YLabel: "p99 (ms)", LogY: true, Lines: []Line{
		{Name: "leases", X: []float64{40, 70}, Y: []float64{1, 2}}, {Name: "central", X: []float64{40, 70}, Y: []float64{1, 1.5}},
	}, Marks: []Mark{{X: 50, Name: "event"}}}
	require.NoError(t, Write(dir, "chart", chart))
	data, err := os.ReadFile(filepath.Join(dir, "chart.svg"))
	require.NoError(t, err)
	require.Contains(t, string(data), "leases")
	chart.Lines[0].Y = nil
	require.Error(t, Write(dir, "chart", chart))
}
