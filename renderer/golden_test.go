package renderer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against a view that control hosts and clients of another version cannot read: a renamed Go field changes the
// bytes that another version or a stored file holds.
func TestGoldenView(t *testing.T) {
	v := pinner.Fill[View]()
	v.Number = number(v.Term, v.Seq)
	require.Empty(t, pinner.Unfilled(v))
	m, err := EncodeView(&v)
	require.NoError(t, err)
	m.View = pinner.CheckZipped(t, "view.json", m.View)
	read, err := DecodeView(m)
	require.NoError(t, err)
	require.Equal(t, &v, read)
}
