package persister

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// maxLoadTime keeps the load time of a restart short compared with the election that follows.
const maxLoadTime = 500 * time.Millisecond

func BenchmarkAppend(b *testing.B) {
	s, _ := openStore(b, nil, b.TempDir())
	data := bytes.Repeat([]byte("x"), 400)
	for i := uint64(1); b.Loop(); i++ {
		require.NoError(b, s.Append([]sycamorevane.LogEntry{{Index: i, Term: 1, Data: data}}))
	}
	require.NoError(b, s.Close())
}

// BenchmarkLoad loads a directory with two days of state changes of 4 KiB each in several segments.
func BenchmarkLoad(b *testing.B) {
	dir := b.TempDir()
	s, _ := openStore(b, nil, dir)
	data := bytes.Repeat([]byte("x"), 4<<10)
	for i := uint64(1); i <= 2*990; i++ {
		require.NoError(b, s.Append([]sycamorevane.LogEntry{{Index: i, Term: 1, Data: data}}))
	}
	require.NoError(b, s.Close())
	b.ResetTimer()
	for b.Loop() {
		s, d := openStore(b, nil, dir)
		require.Len(b, d.Entries, 2*990)
		require.NoError(b, s.Close())
	}
	require.Less(b, b.Elapsed()/time.Duration(b.N), maxLoadTime)
}
