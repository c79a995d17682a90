package decoder

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each row guards against an invalid body being accepted, or rejected without a reason.
func TestBadBodies(t *testing.T) {
	rows := []struct {
		name, body string
		status     int
		text       string
	}{
		{"empty", ``, 400, "malformed JSON"},
		{"unknown field", `{"a":1,"c":2}`, 400, `"c"`},
		{"wrong type", `{"a":"x"}`, 400, `"a"`},
		{"second object", `{"a":1}{"a":2}`, 400, "after the JSON object"},
		{"cut", `{"a":`, 400, "malformed JSON"},
		{"too large", `{"b":"` + strings.Repeat("x", 100) + `"}`, 413, "larger than 64"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var v struct {
				A int    `json:"a"`
				B string `json:"b"`
			}
			err := JSON(httptest.NewRecorder(), httptest.NewRequest("POST", "/", strings.NewReader(row.body)), 64, &v)
			var body *BodyError
			require.ErrorAs(t, err, &body)
			require.Equal(t, row.status, body.Status)
			require.Contains(t, body.Reason, row.text)
		})
	}
	var v struct{ A int }
	require.NoError(t, JSON(httptest.NewRecorder(), httptest.NewRequest("POST", "/", strings.NewReader(`{"A":1} `)), 64, &v))
	require.Equal(t, 1, v.A)
}
