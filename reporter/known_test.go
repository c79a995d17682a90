package reporter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that makes CI pass over tests other than the one it names.
func TestKnownNamesOneTest(t *testing.T) {
	text := "# comment\nTestPairs/a_+_b; make soak; seen; 7\n"
	require.Equal(t, "TestPairs/a_+_b; make soak; seen; 7", known(text, "TestPairs/a_+_b"))
	require.Empty(t, known(text, "TestPairs/a"))
	require.Empty(t, known(text, "TestPairs"))
	require.Empty(t, known(text, "# comment"))
}
