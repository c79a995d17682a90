package reporter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

type fakeLog struct{ out, errors []string }

func (l *fakeLog) Helper() {}

func (l *fakeLog) Logf(format string, args ...any) {
	l.out = append(l.out, fmt.Sprintf(format, args...))
}

func (l *fakeLog) Errorf(format string, args ...any) {
	l.errors = append(l.errors, fmt.Sprintf(format, args...))
}

// Guards against a bound that cannot fail.
func TestMissedTargetFailsTheTest(t *testing.T) {
	cases := []struct {
		bound Direction
		value float64
		fails int
	}{{AtMost, 9, 0}, {AtMost, 11, 1}, {AtLeast, 11, 0}, {AtLeast, 9, 1}, {NoTarget, 9, 0}}
	for _, c := range cases {
		l := &fakeLog{}
		Record(l, Measurement{Area: "a", Description: "w", Value: c.value, Bound: c.bound, Target: 10})
		require.Len(t, l.errors, c.fails, "%v", c)
	}
}

func TestPageShowsEarlierFigure(t *testing.T) {
	l := &fakeLog{}
	Record(l, Measurement{Area: "tail latency", Description: "p99 at 70%", Value: 1.25, Unit: "x", Bound: AtMost, Target: 1.3})
	Record(l, Measurement{Area: "probes", Description: "cost", Value: 2, Unit: "%"})
	list, err := ReadMeasurements(strings.NewReader("noise\n    bench_test.go:7: " + strings.Join(l.out, "\n x: ") + "\n"))
	require.NoError(t, err)
	require.Len(t, list, 2)
	var first, second bytes.Buffer
	WritePage(&first, list, "")
	require.Contains(t, first.String(), "| p99 at 70% | 1.25 x | at most 1.3 x | yes | – |")
	list[0].Value = 1.4
	for i := range list {
		if list[i].Area == "tail latency" {
			list[i].Value = 1.4
		}
	}
	WritePage(&second, list, first.String())
	require.Contains(t, second.String(), "| p99 at 70% | 1.4 x | at most 1.3 x | no | 1.25 x |")
}

func TestDamagedFigure(t *testing.T) {
	_, err := ReadMeasurements(strings.NewReader("RESULT\ta\tb\tnot a number\tx\t\t0\n"))
	require.Error(t, err)
}
