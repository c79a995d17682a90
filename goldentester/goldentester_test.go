package goldentester

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type inner struct{ A, B int }

type outer struct {
	Name  string
	Flag  bool
	Items []inner
	Ptr   *inner
	Map   map[string]inner
	None  struct{}
}

// Guards against a field that a golden test leaves out without notice.
func TestUnfilled(t *testing.T) {
	v := Fill[outer]()
	require.Empty(t, ZeroFields(v))
	v.Items[0].B = 0
	v.Ptr = nil
	v.Map["x"] = inner{A: 1}
	v.Flag = false
	require.Equal(t, []string{"outer.Flag", "outer.Items[0].B", "outer.Ptr", "outer.Map[x].B"}, ZeroFields(v))
	require.Len(t, ZeroFields(outer{}), 5)
}
