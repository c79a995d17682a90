package placer

import (
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane/seeder"
)

func TestOwnerWithoutHosts(t *testing.T) { require.Empty(t, Owner("k", nil)) }

// Guards against keys that move although their host has not changed.
func TestLeavingHostMovesOnlyItsKeys(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "hosts")
		key := rapid.String().Draw(t, "key")
		hosts := make([]string, n)
		for i := range hosts {
			hosts[i] = "e" + strconv.Itoa(i)
		}
		owner := Owner(key, hosts)
		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(hosts), removed, removed+1)
		if hosts[removed] != owner {
			require.Equal(t, owner, Owner(key, remaining))
		}
		require.Equal(t, owner, TopHosts(key, hosts, 5)[0])
	})
}
