package replicator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/persister"
)

// storeOpener opens a Store; after Close, another call opens it again with its content.
type storeOpener func(t *testing.T) sycamorevane.Store

func testEntries(term, from, to uint64) []sycamorevane.LogEntry {
	var list []sycamorevane.LogEntry
	for i := from; i <= to; i++ {
		list = append(list, sycamorevane.LogEntry{Index: i, Term: term, Kind: uint8(i % 3), Data: fmt.Append(nil, "data ", i)})
	}
	return list
}

func requireLoad(t *testing.T, open storeOpener, want sycamorevane.DurableState) sycamorevane.Store {
	t.Helper()
	s := open(t)
	got, err := s.Load()
	require.NoError(t, err)
	require.Equal(t, want.HardState, got.HardState)
	require.Equal(t, want.Snapshot.Index, got.Snapshot.Index)
	require.Equal(t, want.Snapshot.Term, got.Snapshot.Term)
	require.Equal(t, string(want.Snapshot.Data), string(got.Snapshot.Data))
	require.Equal(t, string(want.Snapshot.Membership), string(got.Snapshot.Membership))
	require.Len(t, got.Entries, len(want.Entries))
	for i := range want.Entries {
		require.Equal(t, want.Entries[i], got.Entries[i])
	}
	return s
}

// Guards against differences between the in-memory and the on-disk Store. The simulated schedules use the in-memory
// Store, and their results hold for the on-disk Store only if both store the same content.
func TestStoreContract(t *testing.T) {
	stores := map[string]func(t *testing.T) storeOpener{
		"memory": func(*testing.T) storeOpener {
			s := &memStore{}
			return func(*testing.T) sycamorevane.Store { return s }
		},
		"disk": func(t *testing.T) storeOpener {
			dir := t.TempDir()
			return func(t *testing.T) sycamorevane.Store {
				s, err := persister.Open(persister.Config{Dir: dir})
				require.NoError(t, err)
				return s
			}
		},
	}
	hard := sycamorevane.HardState{Term: 4, VotedFor: "b"}
	snap := func(index, term uint64) sycamorevane.Snapshot {
		return sycamorevane.Snapshot{Index: index, Term: term, Membership: []byte("members"), Data: []byte("image")}
	}
	cases := []struct {
		name string
		do   func(t *testing.T, s sycamorevane.Store)
		want sycamorevane.DurableState
	}{
		{"empty", func(*testing.T, sycamorevane.Store) {}, sycamorevane.DurableState{}},
		{"hard state and entries", func(t *testing.T, s sycamorevane.Store) {
			require.NoError(t, s.SaveHardState(sycamorevane.HardState{Term: 3}))
			require.NoError(t, s.Append(testEntries(3, 1, 5)))
			require.NoError(t, s.SaveHardState(hard))
			require.NoError(t, s.Append(testEntries(4, 6, 7)))
		}, sycamorevane.DurableState{HardState: hard, Entries: append(testEntries(3, 1, 5), testEntries(4, 6, 7)...)}},
		{"conflicting tail replaced", func(t *testing.T, s sycamorevane.Store) {
			require.NoError(t, s.Append(testEntries(3, 1, 5)))
			require.NoError(t, s.Truncate(3))
			require.NoError(t, s.Append(testEntries(4, 3, 4)))
		}, sycamorevane.DurableState{Entries: append(testEntries(3, 1, 2), testEntries(4, 3, 4)...)}},
		{"truncation after the end", func(t *testing.T, s sycamorevane.Store) {
			require.NoError(t, s.Append(testEntries(3, 1, 2)))
			require.NoError(t, s.Truncate(3))
		}, sycamorevane.DurableState{Entries: testEntries(3, 1, 2)}},
		{"local snapshot keeps later entries", func(t *testing.T, s sycamorevane.Store) {
			require.NoError(t, s.SaveHardState(hard))
			require.NoError(t, s.Append(testEntries(3, 1, 6)))
			require.NoError(t, s.SaveSnapshot(snap(4, 3)))
			require.NoError(t, s.Append(testEntries(4, 7, 8)))
		}, sycamorevane.DurableState{
			HardState: hard, Snapshot: snap(4, 3),
			Entries: append(testEntries(3, 5, 6), testEntries(4, 7, 8)...),
		}},
		{"snapshot beyond the log", func(t *testing.T, s sycamorevane.Store) {
			require.NoError(t, s.Append(testEntries(3, 1, 6)))
			require.NoError(t, s.SaveSnapshot(snap(40, 5)))
			require.NoError(t, s.Append(testEntries(5, 41, 42)))
		}, sycamorevane.DurableState{Snapshot: snap(40, 5), Entries: testEntries(5, 41, 42)}},
		{"snapshot of another history", func(t *testing.T, s sycamorevane.Store) {
			require.NoError(t, s.Append(testEntries(3, 1, 6)))
			require.NoError(t, s.SaveSnapshot(snap(4, 4)))
			require.NoError(t, s.Append(testEntries(5, 5, 5)))
		}, sycamorevane.DurableState{Snapshot: snap(4, 4), Entries: testEntries(5, 5, 5)}},
		{"truncation below an older snapshot's entries", func(t *testing.T, s sycamorevane.Store) {
			require.NoError(t, s.Append(testEntries(1, 1, 10)))
			require.NoError(t, s.SaveSnapshot(snap(5, 1)))
			require.NoError(t, s.Append(testEntries(1, 11, 12)))
			require.NoError(t, s.Truncate(8))
			require.NoError(t, s.Append(testEntries(2, 8, 20)))
			require.NoError(t, s.SaveSnapshot(snap(13, 2)))
		}, sycamorevane.DurableState{Snapshot: snap(13, 2), Entries: testEntries(2, 14, 20)}},
		{"wrong calls change nothing", func(t *testing.T, s sycamorevane.Store) {
			require.NoError(t, s.Append(testEntries(1, 1, 3)))
			require.Error(t, s.Append(testEntries(1, 5, 6)))
			require.Error(t, s.Append(testEntries(1, 3, 4)))
			require.NoError(t, s.SaveSnapshot(snap(2, 1)))
			require.Error(t, s.SaveSnapshot(snap(2, 1)))
			require.Error(t, s.Truncate(2))
		}, sycamorevane.DurableState{Snapshot: snap(2, 1), Entries: testEntries(1, 3, 3)}},
	}
	for kind, store := range stores {
		for _, c := range cases {
			t.Run(kind+"/"+c.name, func(t *testing.T) {
				open := store(t)
				s := requireLoad(t, open, sycamorevane.DurableState{})
				c.do(t, s)
				require.NoError(t, s.Close())
				require.Error(t, s.SaveHardState(hard), "write after Close")
				// Loads twice, since Load rewrites files.
				for range 2 {
					require.NoError(t, requireLoad(t, open, c.want).Close())
				}
				s = requireLoad(t, open, c.want)
				next := c.want.Snapshot.Index + uint64(len(c.want.Entries)) + 1
				require.NoError(t, s.Append(testEntries(9, next, next)))
				require.NoError(t, s.Close())
				c.want.Entries = append(c.want.Entries, testEntries(9, next, next)...)
				require.NoError(t, requireLoad(t, open, c.want).Close())
			})
		}
	}
}
