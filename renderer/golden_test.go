package renderer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/goldentester"
)

// Guards against a change of the view's JSON format, which control hosts and clients of other versions rely on; a renamed
// Go field without a tag changes the JSON.
func TestGoldenView(t *testing.T) {
	v := goldentester.Fill[View]()
	v.Number = number(v.Term, v.Seq)
	require.Empty(t, goldentester.ZeroFields(v))
	m, err := EncodeView(&v)
	require.NoError(t, err)
	m.View = goldentester.CheckGzip(t, "view.json", m.View)
	read, err := DecodeView(m)
	require.NoError(t, err)
	require.Equal(t, &v, read)
}
