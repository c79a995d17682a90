// Package seeder fixes the random schedules of property tests, so that every run of the tests gives the same verdict.
package seeder

import (
	"flag"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// shortPart is what rapid divides the number of checks by with -short.
const shortPart = 5

// fixed is true once the seed is this package's and not the command line's.
var fixed atomic.Bool

// FixSeed makes rapid use the same seed on every run, or SOAK_SEED when it is set, unless -rapid.seed was given. Checks is
// the number of schedules, with -short too; zero keeps rapid's own. It must be called before rapid.Check.
func FixSeed(tb testing.TB, checks int) {
	tb.Helper()
	if f := flag.Lookup("rapid.seed"); f == nil || f.Value.String() != f.DefValue && !fixed.Load() {
		return
	}
	fixed.Store(true)
	seed := "1"
	if value := os.Getenv("SOAK_SEED"); value != "" {
		seed = value
	}
	set(tb, "rapid.seed", seed)
	set(tb, "rapid.nofailfile", "true")
	if checks > 0 {
		if testing.Short() {
			checks *= shortPart
		}
		set(tb, "rapid.checks", strconv.Itoa(checks))
	}
}

func set(tb testing.TB, name, value string) {
	tb.Helper()
	if err := flag.Set(name, value); err != nil {
		tb.Fatalf("flag %s: %v", name, err)
	}
}
