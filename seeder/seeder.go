// Package seeder fixes the seed of property tests, so that every run of the tests checks the same schedules.
package seeder

import (
	"flag"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// shortDivisor is the factor by which rapid reduces the number of checks with -short.
const shortDivisor = 5

// seedFixed is true once this package has set the seed, as opposed to the command line.
var seedFixed atomic.Bool

// FixSeed makes rapid use the same seed on every run, or SOAK_SEED when it is set, unless -rapid.seed was given. checks
// is the number of schedules, also with -short; zero keeps rapid's default. FixSeed must be called before rapid.Check.
func FixSeed(tb testing.TB, checks int) {
	tb.Helper()
	if f := flag.Lookup("rapid.seed"); f == nil || f.Value.String() != f.DefValue && !seedFixed.Load() {
		return
	}
	seedFixed.Store(true)
	seed := "1"
	if value := os.Getenv("SOAK_SEED"); value != "" {
		seed = value
	}
	setFlag(tb, "rapid.seed", seed)
	setFlag(tb, "rapid.nofailfile", "true")
	if checks > 0 {
		if testing.Short() {
			checks *= shortDivisor
		}
		setFlag(tb, "rapid.checks", strconv.Itoa(checks))
	}
}

func setFlag(tb testing.TB, name, value string) {
	tb.Helper()
	if err := flag.Set(name, value); err != nil {
		tb.Fatalf("flag %s: %v", name, err)
	}
}
