package forwarder

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// Guards against a limit that is missed or misread, and against one that seems to end with a response that the server has not written.
func TestLimitStatements(t *testing.T) {
	limited := func(rate float64) *sycamorevane.LimitStatement {
		return &sycamorevane.LimitStatement{RequestLimit: sycamorevane.RequestLimit{Limited: true, Rate: rate}}
	}
	cases := map[string]struct {
		header http.Header
		want   *sycamorevane.LimitStatement
	}{
		"fraction":           {http.Header{"X-Limit": {"1.2"}, "X-Proof": {"p"}}, limited(1.2)},
		"zero":               {http.Header{"X-Limit": {"0"}}, limited(0)},
		"health check":       {http.Header{"X-Limit": {" 3 "}}, limited(3)},
		"end":                {http.Header{"X-Proof": {"p"}}, &sycamorevane.LimitStatement{}},
		"no proof":           {http.Header{}, nil},
		"negative":           {http.Header{"X-Limit": {"-1"}, "X-Proof": {"p"}}, nil},
		"not a number":       {http.Header{"X-Limit": {"many"}, "X-Proof": {"p"}}, nil},
		"NaN":                {http.Header{"X-Limit": {"NaN"}, "X-Proof": {"p"}}, nil},
		"infinite":           {http.Header{"X-Limit": {"Inf"}, "X-Proof": {"p"}}, nil},
		"of another dialect": {http.Header{"X-Other-Limit": {"1"}}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := Dialect{Limit: "X-Limit", Proof: "X-Proof"}
			got, err := d.limitStatement(c.header)
			require.Equal(t, c.want, got)
			unreadable := c.want == nil && c.header.Get("X-Limit") != ""
			require.Equal(t, unreadable, err != nil, "it is logged")
		})
	}
	got, err := (&Dialect{}).limitStatement(http.Header{"X-Limit": {"1"}})
	require.NoError(t, err)
	require.Nil(t, got, "servers do not send it")
}
