package reporter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that makes CI skip tests other than the one it names.
func TestKnownNamesOneTest(t *testing.T) {
	text := "# comment\nTestPairs/a_+_b; make soak; seen; 7\n"
	require.Equal(t, "TestPairs/a_+_b; make soak; seen; 7", findKnownFailure(text, "TestPairs/a_+_b"))
	require.Empty(t, findKnownFailure(text, "TestPairs/a"))
	require.Empty(t, findKnownFailure(text, "TestPairs"))
	require.Empty(t, findKnownFailure(text, "# comment"))
}
