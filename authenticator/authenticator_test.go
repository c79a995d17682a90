package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TestOperator guards against accepting malformed headers as tokens, and against returning the wrong operator.
func TestOperator(t *testing.T) {
	a, err := New(map[string]string{digest("one"): "ann", digest("two"): "bob"}, logr.Discard())
	require.NoError(t, err)
	tests := []struct{ header, want string }{
		{"Bearer one", "ann"},
		{"Bearer two", "bob"},
		{"Bearer ", ""},
		{"Bearer", ""},
		{"", ""},
		{"one", ""},
		{"Basic one", ""},
		{"bearer one", ""},
		{"Bearer  one", ""},
		{"Bearer " + digest("one"), ""},
	}
	for _, tt := range tests {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", tt.header)
		name, ok := a.Operator(r)
		require.Equal(t, tt.want, name, tt.header)
		require.Equal(t, tt.want != "", ok)
		w := httptest.NewRecorder()
		a.Wrap(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			require.Equal(t, tt.want, Name(r.Context()))
		})).ServeHTTP(w, r)
		require.Equal(t, tt.want == "", w.Code == http.StatusUnauthorized)
	}
}

// TestDigests guards against accepting settings that contain a token or a truncated digest instead of a digest.
func TestDigests(t *testing.T) {
	for _, bad := range []map[string]string{
		{"one": "ann"}, {digest("one")[2:]: "ann"}, {digest("one"): ""}, {"": "ann"},
	} {
		_, err := New(bad, logr.Discard())
		require.Error(t, err)
		require.NotContains(t, err.Error(), "one", "the error must not contain any part of a token")
	}
}
