package cataloger

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a start without servers after the loss of all processes, and against a file that is damaged or old.
func TestKeptCatalog(t *testing.T) {
	f := File{Path: filepath.Join(t.TempDir(), "catalog")}
	list, err := f.load(start)
	require.NoError(t, err)
	require.Empty(t, list)
	kept := []Report{report("a", "1", 1, 5), report("b", "2", 1, 9)}
	require.NoError(t, f.save(kept, start))
	list, err = f.load(start.Add(time.Second))
	require.NoError(t, err)
	require.Equal(t, kept, list)
	list, err = f.load(start.Add(2 * fileLife))
	require.NoError(t, err)
	require.Empty(t, list, "servers have changed since")
	data, err := os.ReadFile(f.Path)
	require.NoError(t, err)
	for i := range data {
		torn := append([]byte(nil), data...)
		torn[i] ^= 1
		require.NoError(t, os.WriteFile(f.Path, torn, 0o600))
		_, err = f.load(start)
		require.Error(t, err, "byte %d", i)
		require.NoError(t, os.WriteFile(f.Path, data[:i], 0o600))
		_, err = f.load(start)
		require.Error(t, err, "cut at %d", i)
	}
}
