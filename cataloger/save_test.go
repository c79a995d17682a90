package cataloger

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against starting without servers after all processes have failed, and against using a file that is damaged or
// too old.
func TestKeptCatalog(t *testing.T) {
	f := File{Path: filepath.Join(t.TempDir(), "catalog")}
	list, err := f.load(start)
	require.NoError(t, err)
	require.Empty(t, list)
	saved := []Report{report("a", "1", 1, 5), report("b", "2", 1, 9)}
	require.NoError(t, f.save(saved, start))
	list, err = f.load(start.Add(time.Second))
	require.NoError(t, err)
	require.Equal(t, saved, list)
	list, err = f.load(start.Add(2 * maxFileAge))
	require.NoError(t, err)
	require.Empty(t, list, "the file is older than maxFileAge")
	data, err := os.ReadFile(f.Path)
	require.NoError(t, err)
	for i := range data {
		corrupted := append([]byte(nil), data...)
		corrupted[i] ^= 1
		require.NoError(t, os.WriteFile(f.Path, corrupted, 0o600))
		_, err = f.load(start)
		require.Error(t, err, "byte %d", i)
		require.NoError(t, os.WriteFile(f.Path, data[:i], 0o600))
		_, err = f.load(start)
		require.Error(t, err, "cut at %d", i)
	}
}
