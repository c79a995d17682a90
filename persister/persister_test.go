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

// diskFS is a file system in memory. crash drops what was not synced, as a power failure does: unsynced bytes are
// cut at a random place and partly zeroed, and unsynced names revert.
type diskFS struct {
	rand    *rand.Rand
	files   map[string]*diskFile
	durable map[string]*diskFile
	locked  bool
	// budget is the number of operations until one fails; negative for never. After it all fail.
	budget int
	short  bool
}

type diskFile struct {
	data   []byte
	synced int
	fs     *diskFS
}

func newDisk(seed uint64) *diskFS {
	return &diskFS{
		rand: rand.New(rand.NewPCG(seed, 1)), files: make(map[string]*diskFile),
		durable: make(map[string]*diskFile), budget: -1,
	}
}

func (d *diskFS) spend() error {
	if d.budget < 0 {
		return nil
	}
	if d.budget == 0 {
		return errInjected
	}
	d.budget--
	return nil
}

func (d *diskFS) Prepare(string) error { return nil }

func (d *diskFS) List(string) ([]string, error) {
	var names []string
	for n := range d.files {
		names = append(names, filepath.Base(n))
	}
	slices.Sort(names)
	return names, nil
}

func (d *diskFS) Read(name string) ([]byte, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return bytes.Clone(f.data), nil
}

func (d *diskFS) Create(name string) (File, error) {
	if err := d.spend(); err != nil {
		return nil, err
	}
	f := &diskFile{fs: d}
	d.files[name] = f
	return f, nil
}

func (d *diskFS) Append(name string) (File, error) {
	if err := d.spend(); err != nil {
		return nil, err
	}
	return d.files[name], nil
}

func (d *diskFS) Rename(from, to string) error {
	if err := d.spend(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *diskFS) Remove(name string) error {
	if err := d.spend(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *diskFS) SyncDir(string) error {
	if err := d.spend(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.files)
	return nil
}

func (d *diskFS) Lock(string) (io.Closer, error) {
	if d.locked {
		return nil, errInjected
	}
	d.locked = true
	return unlocker{d}, nil
}

type unlocker struct{ d *diskFS }

func (u unlocker) Close() error {
	u.d.locked = false
	return nil
}

func (f *diskFile) Write(b []byte) (int, error) {
	if err := f.fs.spend(); err != nil {
		n := f.fs.rand.IntN(len(b) + 1)
		f.data = append(f.data, b[:n]...)
		if f.fs.short {
			return n, nil
		}
		return n, err
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *diskFile) Sync() error {
	if err := f.fs.spend(); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *diskFile) Close() error { return nil }

// crash ends the process and the machine: the next Open sees only what was durable, and perhaps a part of the rest.
func (d *diskFS) crash() {
	d.locked, d.budget = false, -1
	if d.rand.IntN(2) == 0 {
		d.files = maps.Clone(d.durable)
	}
	for _, f := range d.files {
		tail := f.data[f.synced:]
		keep := d.rand.IntN(len(tail) + 1)
		if d.rand.IntN(3) == 0 {
			clear(tail[d.rand.IntN(len(tail)+1):])
		}
		f.data = f.data[:f.synced+keep]
		f.synced = len(f.data)
	}
	d.durable = maps.Clone(d.files)
}

func open(t testing.TB, fs FS, dir string) (*Store, sycamorevane.DurableState) {
	t.Helper()
	s, err := Open(Config{Dir: dir, FS: fs})
	require.NoError(t, err)
	d, err := s.Load()
	require.NoError(t, err)
	return s, d
}

func entry(index, term uint64) sycamorevane.LogEntry {
	return sycamorevane.LogEntry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

// model is what the store has acknowledged, and what one write in doubt would make of it.
type model struct{ sycamorevane.DurableState }

func (m *model) last() uint64 { return m.Snapshot.Index + uint64(len(m.Entries)) }

// randomWrite makes one valid write and returns the state after it.
func (m *model) randomWrite(r *rand.Rand, s *Store) (model, error) {
	next := model{m.DurableState}
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
		at := m.Entries[r.IntN(len(m.Entries)-1)]
		next.Snapshot = sycamorevane.Snapshot{Index: at.Index, Term: at.Term, Data: []byte("image")}
		next.Entries = next.Entries[at.Index-m.Snapshot.Index:]
		return next, s.SaveSnapshot(next.Snapshot)
	case k == 4 && len(m.Entries) > 2:
		at := m.Entries[len(m.Entries)/2]
		next.Snapshot = sycamorevane.Snapshot{Index: at.Index, Term: at.Term + 1, Data: []byte("another history")}
		next.Entries = nil
		return next, s.SaveSnapshot(next.Snapshot)
	case k == 5 && r.IntN(4) == 0:
		next.Snapshot = sycamorevane.Snapshot{Index: m.last() + 5, Term: m.HardState.Term + 1, Data: []byte("far")}
		next.Entries = nil
		return next, s.SaveSnapshot(next.Snapshot)
	}
	var list []sycamorevane.LogEntry
	for i := range uint64(1 + r.IntN(3)) {
		list = append(list, entry(m.last()+1+i, m.HardState.Term))
	}
	next.Entries = append(next.Entries, list...)
	return next, s.Append(list)
}

func same(a, b sycamorevane.DurableState) bool {
	return a.HardState == b.HardState && a.Snapshot.Index == b.Snapshot.Index &&
		slices.EqualFunc(a.Entries, b.Entries, func(x, y sycamorevane.LogEntry) bool {
			return x.Index == y.Index && x.Term == y.Term && bytes.Equal(x.Data, y.Data)
		})
}

// Guards against loss of acknowledged writes, and against a folder that cannot be loaded, after a crash at any
// operation, with write errors, short writes and unsynced data lost.
func TestCrashAtEveryOperation(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		disk := newDisk(seed)
		var m model
		for range 6 {
			s, d := open(t, disk, "data")
			require.True(t, same(m.DurableState, d), "seed %d: have %+v, want %+v", seed, d, m.DurableState)
			disk.budget, disk.short = 5+r.IntN(60), r.IntN(2) == 0
			doubt := m
			for {
				next, err := m.randomWrite(r, s)
				if err != nil {
					doubt = next
					require.Error(t, s.SaveHardState(m.HardState), "write after a write error")
					break
				}
				m = next
			}
			_ = s.Close()
			disk.crash()
			s, d = open(t, disk, "data")
			require.True(t, same(m.DurableState, d) || same(doubt.DurableState, d),
				"seed %d: have %+v, want %+v or %+v", seed, d, m.DurableState, doubt.DurableState)
			m.DurableState = d
			_ = s.Close()
		}
	}
}

// Guards against a check that cannot fail: without the sync of a file, TestCrashAtEveryOperation's disk must lose
// an acknowledged write.
func TestCrashLosesUnsyncedData(t *testing.T) {
	lost := false
	for seed := range uint64(20) {
		disk := newDisk(seed)
		f, _ := disk.Create("data/x")
		_, _ = f.Write([]byte("acknowledged"))
		_ = disk.SyncDir("data")
		disk.crash()
		lost = lost || string(disk.files["data/x"].data) != "acknowledged"
	}
	require.True(t, lost)
}

// written makes a folder with two segments, a snapshot and ten entries and returns it with the names of the files.
func written(t *testing.T) (dir string, first, last, snapshot string) {
	dir = t.TempDir()
	s, _ := open(t, nil, dir)
	for i := range uint64(5) {
		require.NoError(t, s.Append([]sycamorevane.LogEntry{entry(i+1, 1)}))
	}
	require.NoError(t, s.SaveSnapshot(sycamorevane.Snapshot{Index: 3, Term: 1, Data: []byte("image")}))
	for i := range uint64(5) {
		require.NoError(t, s.Append([]sycamorevane.LogEntry{entry(i+6, 1)}))
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

func TestDamage(t *testing.T) {
	dir, first, last, snapshot := written(t)
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
		// entries is the number loaded when the damage is a torn tail.
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
			d, err := s.Load()
			if !c.corrupt {
				require.NoError(t, err)
				require.Len(t, d.Entries, c.entries)
				return
			}
			var damage *sycamorevane.CorruptError
			require.True(t, errors.As(err, &damage), "error %v", err)
			require.Equal(t, file, damage.File)
			require.Error(t, s.SaveHardState(sycamorevane.HardState{Term: 9}), "write to a damaged store")
		})
	}
}

// Guards against two processes that write to one folder.
func TestFolderIsLocked(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, nil, dir)
	_, err := Open(Config{Dir: dir})
	require.ErrorContains(t, err, "used by another process")
	require.NoError(t, s.Close())
	s, _ = open(t, nil, dir)
	require.NoError(t, s.Close())
}

// Guards against log contents that other users of the machine can read.
func TestFileModes(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	s, _ := open(t, nil, dir)
	require.NoError(t, s.Append([]sycamorevane.LogEntry{entry(1, 1), entry(2, 1)}))
	require.NoError(t, s.SaveSnapshot(sycamorevane.Snapshot{Index: 1, Term: 1}))
	require.NoError(t, s.Close())
	info, err := os.Stat(dir)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(folderMode), info.Mode().Perm())
	names, _ := OS{}.List(dir)
	require.Len(t, names, 4)
	for _, n := range names {
		info, err := os.Stat(filepath.Join(dir, n))
		require.NoError(t, err)
		require.Equal(t, os.FileMode(fileMode), info.Mode().Perm(), n)
	}
}

// Guards against a folder that grows without bound.
func TestSegmentsAreRemoved(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, nil, dir)
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
	require.Less(t, total, int64(2*segmentSize))
	s, d := open(t, nil, dir)
	require.Len(t, d.Entries, 1)
	require.NoError(t, s.Close())
}

func FuzzSegment(f *testing.F) {
	valid := appendFrame([]byte(segmentMagic), 1, int64(len(segmentMagic)), frameHard, encodeHard(sycamorevane.HardState{Term: 3, VotedFor: "a"}))
	payload, _ := encodeEntries([]sycamorevane.LogEntry{entry(1, 1), entry(2, 1)})
	valid = appendFrame(valid, 1, int64(len(valid)), frameEntries, payload)
	f.Add(valid, true)
	f.Add(valid[:len(valid)-3], true)
	f.Add([]byte(segmentMagic), false)
	f.Fuzz(func(t *testing.T, data []byte, last bool) {
		r := &replay{}
		n, err := readSegment("log", data, 1, last, r.apply)
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
