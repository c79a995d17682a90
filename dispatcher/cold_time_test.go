package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cold time that overflows and makes a cold server count as warm.
func TestParseColdRemaining(t *testing.T) {
	cases := map[string]time.Duration{
		"0": 0, "250": 250 * time.Millisecond, "86400000": 24 * time.Hour,
		"": -1, "-1": -1, "x": -1, "1.5": -1, "86400001": -1, "9223372036854775807": -1, "9223372036854775808": -1,
	}
	for value, want := range cases {
		t.Run(value, func(t *testing.T) { require.Equal(t, want, ParseColdRemaining(value)) })
	}
}
