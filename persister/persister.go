// Package persister keeps the durable state of a control host in one folder: log segments and a snapshot. It
// implements sycamorevane.Store.
package persister

import (
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	// segmentSize is the size from which a new segment is started; segments are read as a whole at start.
	segmentSize = 4 << 20

	lockName       = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	temporary      = ".tmp"
)

// Config holds what a Store is built from.
type Config struct {
	// Dir is the data folder; it is created when absent and belongs to one process at a time.
	Dir string
	// FS is the file system; nil for the operating system's.
	FS FS
}

// segment is one log file.
type segment struct {
	number uint64
	// last is the highest entry index written to it; zero for none.
	last uint64
}

// Store implements sycamorevane.Store. It is used by one goroutine at a time.
type Store struct {
	dir  string
	fs   FS
	lock io.Closer

	hard     sycamorevane.HardState
	snapshot struct{ index, term uint64 }
	// terms holds the term of each entry after base.
	base  uint64
	terms []uint64

	// segments are the log files, oldest first; the last one is open for writing.
	segments []segment
	file     File
	size     int64
	loaded   bool
	err      error
}

// Open locks the folder. Load must be called before the first write.
func Open(cfg Config) (*Store, error) {
	if cfg.FS == nil {
		cfg.FS = OS{}
	}
	s := &Store{dir: cfg.Dir, fs: cfg.FS}
	if err := s.fs.Prepare(s.dir); err != nil {
		return nil, errors.Annotatef(err, "data folder %s", s.dir)
	}
	lock, err := s.fs.Lock(s.path(lockName))
	if err != nil {
		return nil, errors.Annotatef(err, "data folder %s is used by another process", s.dir)
	}
	s.lock = lock
	return s, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func segmentName(number uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, number) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// numbered returns the number in a file name with the prefix.
func numbered(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// Load implements sycamorevane.Store.
func (s *Store) Load() (sycamorevane.DurableState, error) {
	if s.loaded {
		return sycamorevane.DurableState{}, errors.New("store is already loaded")
	}
	names, err := s.fs.List(s.dir)
	if err != nil {
		return sycamorevane.DurableState{}, errors.Trace(err)
	}
	snapshot, err := s.loadSnapshot(names)
	if err != nil {
		return sycamorevane.DurableState{}, errors.Trace(err)
	}
	r := &replay{}
	if err := s.loadSegments(names, r); err != nil {
		return sycamorevane.DurableState{}, errors.Trace(err)
	}
	entries, reset, err := r.after(snapshot)
	if err != nil {
		return sycamorevane.DurableState{}, &sycamorevane.CorruptError{File: s.dir, Reason: err.Error()}
	}
	s.hard = r.hard
	s.snapshot.index, s.snapshot.term = snapshot.Index, snapshot.Term
	s.base, s.terms = snapshot.Index, nil
	for _, e := range entries {
		s.terms = append(s.terms, e.Term)
	}
	s.loaded = true
	if err := s.begin(reset); err != nil {
		return sycamorevane.DurableState{}, s.refuse(err)
	}
	return sycamorevane.DurableState{HardState: r.hard, Snapshot: snapshot, Entries: entries}, nil
}

// loadSnapshot returns the newest snapshot and removes what an interrupted SaveSnapshot left behind.
func (s *Store) loadSnapshot(names []string) (sycamorevane.Snapshot, error) {
	var newest sycamorevane.Snapshot
	for i := len(names) - 1; i >= 0; i-- {
		name := names[i]
		index, ok := numbered(name, snapshotPrefix)
		if strings.HasSuffix(name, temporary) || ok && index < newest.Index {
			if err := s.fs.Remove(s.path(name)); err != nil {
				return newest, errors.Trace(err)
			}
			continue
		}
		if !ok {
			continue
		}
		data, err := s.fs.Read(s.path(name))
		if err != nil {
			return newest, errors.Trace(err)
		}
		newest, err = decodeSnapshot(s.path(name), data)
		if err != nil {
			return newest, err
		}
		if newest.Index != index {
			return newest, &sycamorevane.CorruptError{File: s.path(name), Offset: 16, Reason: "index differs from the file name"}
		}
	}
	return newest, nil
}

func (s *Store) loadSegments(names []string, r *replay) error {
	s.segments = nil
	for _, name := range names {
		if n, ok := numbered(name, segmentPrefix); ok {
			if len(s.segments) > 0 && n != s.segments[len(s.segments)-1].number+1 {
				return &sycamorevane.CorruptError{File: s.path(name), Reason: "the segment before it is missing"}
			}
			s.segments = append(s.segments, segment{number: n})
		}
	}
	for i := range s.segments {
		seg := &s.segments[i]
		name := s.path(segmentName(seg.number))
		data, err := s.fs.Read(name)
		if err != nil {
			return errors.Trace(err)
		}
		r.top = 0
		last := i == len(s.segments)-1
		intact, err := readSegment(name, data, seg.number, last, r.apply)
		if err != nil {
			return err
		}
		seg.last = r.top
		if last {
			return s.rewrite(seg.number, data[:intact])
		}
	}
	return nil
}

// rewrite replaces the last segment by its intact part. This removes a torn tail, and makes frames durable
// that were read from the page cache although an earlier sync of them failed.
func (s *Store) rewrite(number uint64, data []byte) error {
	if len(data) == 0 {
		s.segments = s.segments[:len(s.segments)-1]
		return errors.Trace(s.fs.Remove(s.path(segmentName(number))))
	}
	return s.replaceFile(segmentName(number), data)
}

// replaceFile writes a file under a temporary name, syncs it, renames it and syncs the folder.
func (s *Store) replaceFile(name string, data []byte) error {
	tmp := s.path(name + temporary)
	f, err := s.fs.Create(tmp)
	if err != nil {
		return errors.Trace(err)
	}
	if err := writeSynced(f, data); err != nil {
		_ = f.Close()
		return errors.Trace(err)
	}
	if err := f.Close(); err != nil {
		return errors.Trace(err)
	}
	if err := s.fs.Rename(tmp, s.path(name)); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(s.fs.SyncDir(s.dir))
}

func writeSynced(f File, data []byte) error {
	n, err := f.Write(data)
	if err != nil {
		return err
	}
	if n < len(data) {
		return io.ErrShortWrite
	}
	return f.Sync()
}

// begin starts a new segment with the hard state, and with a reset when the log before it is void.
func (s *Store) begin(reset bool) error {
	number := uint64(1)
	if n := len(s.segments); n > 0 {
		number = s.segments[n-1].number + 1
	}
	data := []byte(segmentMagic)
	if reset {
		data = appendFrame(data, number, int64(len(data)), frameReset, encodeIndex(s.base))
	}
	data = appendFrame(data, number, int64(len(data)), frameHard, encodeHard(s.hard))
	if err := s.replaceFile(segmentName(number), data); err != nil {
		return errors.Trace(err)
	}
	f, err := s.fs.Append(s.path(segmentName(number)))
	if err != nil {
		return errors.Trace(err)
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file, s.size = f, int64(len(data))
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// refuse records the first write error; the store accepts no writes after it.
func (s *Store) refuse(err error) error {
	if s.err == nil {
		s.err = errors.Annotatef(err, "store %s", s.dir)
	}
	return s.err
}

func (s *Store) ready() error {
	if s.err != nil {
		return s.err
	}
	if !s.loaded {
		return errors.Errorf("store %s is not loaded", s.dir)
	}
	return nil
}

func (s *Store) last() uint64 { return s.base + uint64(len(s.terms)) }

// write adds one frame to the current segment and syncs it.
func (s *Store) write(kind uint32, payload []byte) error {
	if s.size >= segmentSize {
		if err := s.begin(false); err != nil {
			return s.refuse(err)
		}
	}
	seg := &s.segments[len(s.segments)-1]
	data := appendFrame(nil, seg.number, s.size, kind, payload)
	if err := writeSynced(s.file, data); err != nil {
		return s.refuse(err)
	}
	s.size += int64(len(data))
	return nil
}

// SaveHardState implements sycamorevane.Store.
func (s *Store) SaveHardState(h sycamorevane.HardState) error {
	if err := s.ready(); err != nil {
		return err
	}
	s.hard = h
	return s.write(frameHard, encodeHard(h))
}

// Append implements sycamorevane.Store.
func (s *Store) Append(entries []sycamorevane.LogEntry) error {
	if err := s.ready(); err != nil || len(entries) == 0 {
		return err
	}
	for i, e := range entries {
		if want := s.last() + 1 + uint64(i); e.Index != want {
			return errors.NotValidf("entry %d where %d follows", e.Index, want)
		}
	}
	payload, err := encodeEntries(entries)
	if err != nil {
		return s.refuse(err)
	}
	if err := s.write(frameEntries, payload); err != nil {
		return err
	}
	for _, e := range entries {
		s.terms = append(s.terms, e.Term)
	}
	seg := &s.segments[len(s.segments)-1]
	seg.last = max(seg.last, s.last())
	return nil
}

// Truncate implements sycamorevane.Store.
func (s *Store) Truncate(from uint64) error {
	if err := s.ready(); err != nil || from > s.last() {
		return err
	}
	if from <= s.base {
		return errors.NotValidf("truncation from %d, below the snapshot at %d,", from, s.base)
	}
	if err := s.write(frameTruncate, encodeIndex(from)); err != nil {
		return err
	}
	s.terms = s.terms[:from-s.base-1]
	return nil
}

// SaveSnapshot implements sycamorevane.Store. Entries after the snapshot are kept only when the log holds the
// snapshot's last entry with the same term; otherwise they belong to another history.
func (s *Store) SaveSnapshot(snap sycamorevane.Snapshot) error {
	if err := s.ready(); err != nil {
		return err
	}
	if snap.Index <= s.snapshot.index {
		return errors.NotValidf("snapshot at %d, not above the one at %d,", snap.Index, s.snapshot.index)
	}
	if err := s.replaceFile(snapshotName(snap.Index), encodeSnapshot(snap)); err != nil {
		return s.refuse(err)
	}
	old := s.snapshot.index
	s.snapshot.index, s.snapshot.term = snap.Index, snap.Term
	keeps := snap.Index <= s.last() && s.terms[snap.Index-s.base-1] == snap.Term
	if keeps {
		s.terms = append([]uint64(nil), s.terms[snap.Index-s.base:]...)
	} else {
		s.terms = nil
	}
	s.base = snap.Index
	if err := s.begin(!keeps); err != nil {
		return s.refuse(err)
	}
	if err := s.clean(old); err != nil {
		return s.refuse(err)
	}
	return nil
}

// clean removes the old snapshot and, oldest first, the segments that hold only entries covered by the new one.
func (s *Store) clean(old uint64) error {
	if old > 0 {
		if err := s.fs.Remove(s.path(snapshotName(old))); err != nil {
			return errors.Trace(err)
		}
	}
	for len(s.segments) > 1 && (s.segments[0].last <= s.base || len(s.terms) == 0) {
		if err := s.fs.Remove(s.path(segmentName(s.segments[0].number))); err != nil {
			return errors.Trace(err)
		}
		s.segments = s.segments[1:]
	}
	return errors.Trace(s.fs.SyncDir(s.dir))
}

// Close implements sycamorevane.Store.
func (s *Store) Close() error {
	_ = s.refuse(errors.New("store is closed"))
	if s.file != nil {
		_ = s.file.Close()
	}
	return s.lock.Close()
}
