package persister

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

var errInjected = errors.New("injected fault")

// memFS is an in-memory file system. Its method crash loses what was not synced, like a power failure: unsynced bytes
// are cut off at a random offset and may be partly zeroed, and unsynced changes of names may be undone, all or some of them.
type memFS struct {
	rand         *rand.Rand
	files        map[string]*memFile
	durableFiles map[string]*memFile
	locked       bool
	// opsUntilFault is the number of operations that succeed before all others fail; negative if none fails.
	opsUntilFault int
	// shortWrites makes a failing write return a short count instead of an error.
	shortWrites bool
}

type memFile struct {
	data   []byte
	synced int
	fs     *memFS
}

func newMemFS(seed uint64) *memFS {
	return &memFS{
		rand: rand.New(rand.NewPCG(seed, 1)), files: make(map[string]*memFile),
		durableFiles: make(map[string]*memFile), opsUntilFault: -1,
	}
}

// countOp counts one operation and returns an error if it must fail.
func (fs *memFS) countOp() error {
	if fs.opsUntilFault < 0 {
		return nil
	}
	if fs.opsUntilFault == 0 {
		return errInjected
	}
	fs.opsUntilFault--
	return nil
}

func (fs *memFS) CreateDir(string) error { return nil }

func (fs *memFS) List(string) ([]string, error) {
	var names []string
	for n := range fs.files {
		names = append(names, filepath.Base(n))
	}
	slices.Sort(names)
	return names, nil
}

func (fs *memFS) ReadFile(name string) ([]byte, error) {
	f, ok := fs.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return bytes.Clone(f.data), nil
}

func (fs *memFS) Create(name string) (File, error) {
	if err := fs.countOp(); err != nil {
		return nil, err
	}
	f := &memFile{fs: fs}
	fs.files[name] = f
	return f, nil
}

func (fs *memFS) Append(name string) (File, error) {
	if err := fs.countOp(); err != nil {
		return nil, err
	}
	return fs.files[name], nil
}

func (fs *memFS) Rename(from, to string) error {
	if err := fs.countOp(); err != nil {
		return err
	}
	fs.files[to] = fs.files[from]
	delete(fs.files, from)
	return nil
}

func (fs *memFS) Remove(name string) error {
	if err := fs.countOp(); err != nil {
		return err
	}
	delete(fs.files, name)
	return nil
}

func (fs *memFS) SyncDir(string) error {
	if err := fs.countOp(); err != nil {
		return err
	}
	fs.durableFiles = maps.Clone(fs.files)
	return nil
}

func (fs *memFS) Lock(string) (io.Closer, error) {
	if fs.locked {
		return nil, errInjected
	}
	fs.locked = true
	return memLock{fs}, nil
}

type memLock struct{ fs *memFS }

func (l memLock) Close() error {
	l.fs.locked = false
	return nil
}

func (f *memFile) Write(b []byte) (int, error) {
	if err := f.fs.countOp(); err != nil {
		n := f.fs.rand.IntN(len(b) + 1)
		f.data = append(f.data, b[:n]...)
		if f.fs.shortWrites {
			return n, nil
		}
		return n, err
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *memFile) Sync() error {
	if err := f.fs.countOp(); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }

// undoSomeNames undoes unsynced changes of names one by one.
func (fs *memFS) undoSomeNames() {
	changed := sycamorevane.NewSet[string]()
	for name, f := range fs.files {
		if fs.durableFiles[name] != f {
			changed.Add(name)
		}
	}
	for name := range fs.durableFiles {
		if fs.files[name] == nil {
			changed.Add(name)
		}
	}
	for _, name := range changed.Sorted() {
		if fs.rand.IntN(2) == 0 {
			continue
		}
		delete(fs.files, name)
		if f := fs.durableFiles[name]; f != nil {
			fs.files[name] = f
		}
	}
}

// crash simulates a power failure: the next Open sees what was durable and possibly a part of the rest.
func (fs *memFS) crash() {
	fs.locked, fs.opsUntilFault = false, -1
	switch fs.rand.IntN(3) {
	case 0:
		fs.files = maps.Clone(fs.durableFiles)
	case 1:
		fs.undoSomeNames()
	}
	for _, f := range fs.files {
		tail := f.data[f.synced:]
		keep := fs.rand.IntN(len(tail) + 1)
		if fs.rand.IntN(3) == 0 {
			clear(tail[fs.rand.IntN(len(tail)+1):])
		}
		f.data = f.data[:f.synced+keep]
		f.synced = len(f.data)
	}
	fs.durableFiles = maps.Clone(fs.files)
}

func openStore(t testing.TB, fs FS, dir string) (*Store, sycamorevane.DurableState) {
	t.Helper()
	s, err := Open(Config{Dir: dir, FS: fs})
	require.NoError(t, err)
	d, err := s.Load()
	require.NoError(t, err)
	return s, d
}

func newEntry(index, term uint64) sycamorevane.LogEntry {
	return sycamorevane.LogEntry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

// storeModel is the state that the store must have after the writes that it has acknowledged.
type storeModel struct{ sycamorevane.DurableState }

func (m *storeModel) lastIndex() uint64 { return m.Snapshot.Index + uint64(len(m.Entries)) }

// randomWrite makes one valid write and returns the state that the store has after it.
func (m *storeModel) randomWrite(r *rand.Rand, s *Store) (storeModel, error) {
	next := storeModel{m.DurableState}
	next.Entries = slices.Clone(m.Entries)
	switch k := r.IntN(10); {
	case k < 2:
		next.HardState = sycamorevane.HardState{Term: m.HardState.Term + 1, VotedFor: "b"}
		return next, s.SaveHardState(next.HardState)
	case k == 2 && len(m.Entries) > 0:
		n := r.IntN(len(m.Entries))
		next.Entries = next.Entries[:n]
		return next, s.Truncate(m.Entries[n].Index)
	case k == 3 && len(m.Entries) > 1:
		entry := m.Entries[r.IntN(len(m.Entries)-1)]
		next.Snapshot = sycamorevane.Snapshot{Index: entry.Index, Term: entry.Term, Data: []byte("image")}
		next.Entries = next.Entries[entry.Index-m.Snapshot.Index:]
		return next, s.SaveSnapshot(next.Snapshot)
	case k == 4 && len(m.Entries) > 2:
		entry := m.Entries[len(m.Entries)/2]
		next.Snapshot = sycamorevane.Snapshot{Index: entry.Index, Term: entry.Term + 1, Data: []byte("another history")}
		next.Entries = nil
		return next, s.SaveSnapshot(next.Snapshot)
	case k == 5 && r.IntN(4) == 0:
		next.Snapshot = sycamorevane.Snapshot{Index: m.lastIndex() + 5, Term: m.HardState.Term + 1, Data: []byte("far")}
		next.Entries = nil
		return next, s.SaveSnapshot(next.Snapshot)
	}
	var appended []sycamorevane.LogEntry
	for i := range uint64(1 + r.IntN(3)) {
		appended = append(appended, newEntry(m.lastIndex()+1+i, m.HardState.Term))
	}
	next.Entries = append(next.Entries, appended...)
	return next, s.Append(appended)
}

func sameState(a, b sycamorevane.DurableState) bool {
	return a.HardState == b.HardState && a.Snapshot.Index == b.Snapshot.Index &&
		slices.EqualFunc(a.Entries, b.Entries, func(x, y sycamorevane.LogEntry) bool {
			return x.Index == y.Index && x.Term == y.Term && bytes.Equal(x.Data, y.Data)
		})
}

// Guards against the loss of acknowledged writes, and against a directory that cannot be loaded, after a crash at any
// operation, with write errors, short writes and loss of unsynced data.
func TestCrashAtEveryOperation(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		fs := newMemFS(seed)
		var m storeModel
		for range 6 {
			s, loaded := openStore(t, fs, "data")
			require.True(t, sameState(m.DurableState, loaded), "seed %d: have %+v, want %+v", seed, loaded, m.DurableState)
			fs.opsUntilFault, fs.shortWrites = 5+r.IntN(60), r.IntN(2) == 0
			inDoubt := m
			for {
				next, err := m.randomWrite(r, s)
				if err != nil {
					inDoubt = next
					require.Error(t, s.SaveHardState(m.HardState), "write after a write error")
					break
				}
				m = next
			}
			_ = s.Close()
			fs.crash()
			s, loaded = openStore(t, fs, "data")
			require.True(t, sameState(m.DurableState, loaded) || sameState(inDoubt.DurableState, loaded),
				"seed %d: have %+v, want %+v or %+v", seed, loaded, m.DurableState, inDoubt.DurableState)
			m.DurableState = loaded
			_ = s.Close()
		}
	}
}

// Guards against a memFS that loses no data, with which TestCrashAtEveryOperation could not fail: if the file is not
// synced, a crash must lose an acknowledged write.
func TestCrashLosesUnsyncedData(t *testing.T) {
	lost := false
	for seed := range uint64(20) {
		fs := newMemFS(seed)
		f, _ := fs.Create("data/x")
		_, _ = f.Write([]byte("acknowledged"))
		_ = fs.SyncDir("data")
		fs.crash()
		lost = lost || string(fs.files["data/x"].data) != "acknowledged"
	}
	require.True(t, lost)
}

// writeTestDir writes ten entries in two segments and a snapshot to a directory. It returns the directory and the paths
// of the first segment, the last segment and the snapshot.
func writeTestDir(t *testing.T) (dir string, first, last, snapshot string) {
	dir = t.TempDir()
	s, _ := openStore(t, nil, dir)
	for i := range uint64(5) {
		require.NoError(t, s.Append([]sycamorevane.LogEntry{newEntry(i+1, 1)}))
	}
	require.NoError(t, s.SaveSnapshot(sycamorevane.Snapshot{Index: 3, Term: 1, Data: []byte("image")}))
	for i := range uint64(5) {
		require.NoError(t, s.Append([]sycamorevane.LogEntry{newEntry(i+6, 1)}))
	}
	require.NoError(t, s.Close())
	names, err := OS{}.List(dir)
	require.NoError(t, err)
	var segments []string
	for _, n := range names {
		if strings.HasPrefix(n, segmentPrefix) {
			segments = append(segments, filepath.Join(dir, n))
		}
	}
	return dir, segments[0], segments[len(segments)-1], filepath.Join(dir, snapshotName(3))
}

// Guards against damaged files that are loaded without an error, and against an incomplete last frame that prevents
// loading.
func TestDamage(t *testing.T) {
	dir, first, last, snapshot := writeTestDir(t)
	size := func(name string) int {
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		return len(data)
	}
	firstSize, lastSize := size(first), size(last)
	cases := []struct {
		name    string
		file    string
		change  func(b []byte) []byte
		corrupt bool
		// entries is the number of loaded entries if the damage is accepted.
		entries int
	}{
		{"intact", last, func(b []byte) []byte { return b }, false, 7},
		{"torn last frame", last, func(b []byte) []byte { return b[:lastSize-1] }, false, 6},
		{"torn header of the last frame", last, func(b []byte) []byte { return b[:lastSize-40] }, false, 6},
		{"zeros after the end", last, func(b []byte) []byte { return append(b, make([]byte, 300)...) }, false, 7},
		{"garbage after the end", last, func(b []byte) []byte { return append(b, bytes.Repeat([]byte{0xa5}, 300)...) }, false, 7},
		{"flipped bit in the last frame", last, func(b []byte) []byte { b[lastSize-1] ^= 1; return b }, false, 6},
		{"flipped bit in the middle of the last segment", last, func(b []byte) []byte { b[80] ^= 1; return b }, true, 0},
		{"flipped length in the middle of the last segment", last, func(b []byte) []byte { b[len(segmentMagic)+3] ^= 0x40; return b }, true, 0},
		{"flipped bit in an older segment", first, func(b []byte) []byte { b[firstSize-1] ^= 1; return b }, true, 0},
		{"older segment cut", first, func(b []byte) []byte { return b[:firstSize-1] }, true, 0},
		{"header of the last segment", last, func(b []byte) []byte { b[0] ^= 1; return b }, true, 0},
		{"snapshot data", snapshot, func(b []byte) []byte { b[len(b)-1] ^= 1; return b }, true, 0},
		{"snapshot cut", snapshot, func(b []byte) []byte { return b[:20] }, true, 0},
		{"snapshot lost", snapshot, func([]byte) []byte { return nil }, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			copied := t.TempDir()
			require.NoError(t, os.CopyFS(copied, os.DirFS(dir)))
			file := filepath.Join(copied, filepath.Base(c.file))
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(file, c.change(data), fileMode))
			s, err := Open(Config{Dir: copied})
			require.NoError(t, err)
			defer func() { _ = s.Close() }()
			loaded, err := s.Load()
			if !c.corrupt {
				require.NoError(t, err)
				require.Len(t, loaded.Entries, c.entries)
				return
			}
			var damage *sycamorevane.CorruptError
			require.True(t, errors.As(err, &damage), "error %v", err)
			require.Equal(t, file, damage.File)
			require.Error(t, s.SaveHardState(sycamorevane.HardState{Term: 9}), "write to a damaged store")
		})
	}
}

// Guards against two processes that write to the same directory.
func TestFolderIsLocked(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, nil, dir)
	_, err := Open(Config{Dir: dir})
	require.ErrorContains(t, err, "used by another process")
	require.NoError(t, s.Close())
	s, _ = openStore(t, nil, dir)
	require.NoError(t, s.Close())
}

// Guards against files that other users of the machine can read.
func TestFileModes(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	s, _ := openStore(t, nil, dir)
	require.NoError(t, s.Append([]sycamorevane.LogEntry{newEntry(1, 1), newEntry(2, 1)}))
	require.NoError(t, s.SaveSnapshot(sycamorevane.Snapshot{Index: 1, Term: 1}))
	require.NoError(t, s.Close())
	info, err := os.Stat(dir)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(dirMode), info.Mode().Perm())
	names, _ := OS{}.List(dir)
	require.Len(t, names, 4)
	for _, n := range names {
		info, err := os.Stat(filepath.Join(dir, n))
		require.NoError(t, err)
		require.Equal(t, os.FileMode(fileMode), info.Mode().Perm(), n)
	}
}

// Guards against a directory that grows without bound.
func TestSegmentsAreRemoved(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, nil, dir)
	big := bytes.Repeat([]byte{7}, 1<<20)
	for i := range uint64(30) {
		require.NoError(t, s.Append([]sycamorevane.LogEntry{{Index: i + 1, Term: 1, Data: big}}))
		if i%10 == 9 {
			require.NoError(t, s.SaveSnapshot(sycamorevane.Snapshot{Index: i, Term: 1, Data: []byte("image")}))
		}
	}
	require.NoError(t, s.Close())
	names, _ := OS{}.List(dir)
	var total int64
	for _, n := range names {
		info, err := os.Stat(filepath.Join(dir, n))
		require.NoError(t, err)
		total += info.Size()
	}
	require.Less(t, total, int64(2*segmentRolloverBytes))
	s, d := openStore(t, nil, dir)
	require.Len(t, d.Entries, 1)
	require.NoError(t, s.Close())
}

func FuzzSegment(f *testing.F) {
	valid := appendFrame([]byte(segmentMagic), 1, int64(len(segmentMagic)), frameHardState, encodeHardState(sycamorevane.HardState{Term: 3, VotedFor: "a"}))
	payload, _ := encodeEntries([]sycamorevane.LogEntry{newEntry(1, 1), newEntry(2, 1)})
	valid = appendFrame(valid, 1, int64(len(valid)), frameEntries, payload)
	f.Add(valid, true)
	f.Add(valid[:len(valid)-3], true)
	f.Add([]byte(segmentMagic), false)
	f.Fuzz(func(t *testing.T, data []byte, isLast bool) {
		log := &replay{}
		n, err := readSegment("log", data, 1, isLast, log.apply)
		if err != nil {
			var damage *sycamorevane.CorruptError
			require.True(t, errors.As(err, &damage))
			return
		}
		again, err := readSegment("log", data[:n], 1, true, (&replay{}).apply)
		require.NoError(t, err)
		require.Equal(t, n, again)
	})
}

func FuzzSnapshot(f *testing.F) {
	f.Add(encodeSnapshot(sycamorevane.Snapshot{Index: 3, Term: 2, Membership: []byte("m"), Data: []byte("image")}))
	f.Add([]byte(snapshotMagic))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeSnapshot("snapshot", data)
		if err != nil {
			var damage *sycamorevane.CorruptError
			require.True(t, errors.As(err, &damage))
			return
		}
		require.Equal(t, data, encodeSnapshot(s))
	})
}
