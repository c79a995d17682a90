// Package persister stores the durable state of a control host in one directory: a snapshot and a log in segments. It
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
	// segmentRolloverBytes is the size from which a new segment is started. Segments are read into memory as a whole at
	// start.
	segmentRolloverBytes = 4 << 20

	lockFile       = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

// Config holds the settings of a Store.
type Config struct {
	// Dir is the data directory. It is created if it does not exist, and only one process at a time can use it.
	Dir string
	// FS is the file system; nil means OS.
	FS FS
}

// segment is one log file.
type segment struct {
	number uint64
	// lastIndex is the highest entry index written to the segment; zero for none.
	lastIndex uint64
}

// Store implements sycamorevane.Store. It is not safe for concurrent use.
type Store struct {
	dir  string
	fs   FS
	lock io.Closer

	hardState sycamorevane.HardState
	snapshot  struct{ index, term uint64 }
	// terms holds the term of each entry after baseIndex.
	baseIndex uint64
	terms     []uint64

	// segments are the log files, oldest first; the last one is open for writing.
	segments []segment
	file     File
	fileSize int64
	loaded   bool
	// writeErr is the first write error, or the error of a closed store. All later writes fail with it.
	writeErr error
}

// Open locks the data directory. Load must be called before the first write.
func Open(cfg Config) (*Store, error) {
	if cfg.FS == nil {
		cfg.FS = OS{}
	}
	s := &Store{dir: cfg.Dir, fs: cfg.FS}
	if err := s.fs.CreateDir(s.dir); err != nil {
		return nil, errors.Annotatef(err, "data folder %s", s.dir)
	}
	lock, err := s.fs.Lock(s.path(lockFile))
	if err != nil {
		return nil, errors.Annotatef(err, "data folder %s is used by another process", s.dir)
	}
	s.lock = lock
	return s, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func segmentName(number uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, number) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// parseFileNumber returns the number in the name of a segment or snapshot file. It returns false if the name does not
// consist of the prefix and a number.
func parseFileNumber(name, prefix string) (uint64, bool) {
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
	entries, reset, err := r.entriesAfter(snapshot)
	if err != nil {
		return sycamorevane.DurableState{}, &sycamorevane.CorruptError{File: s.dir, Reason: err.Error()}
	}
	s.hardState = r.hardState
	s.snapshot.index, s.snapshot.term = snapshot.Index, snapshot.Term
	s.baseIndex, s.terms = snapshot.Index, nil
	for _, e := range entries {
		s.terms = append(s.terms, e.Term)
	}
	s.loaded = true
	if err := s.startSegment(reset); err != nil {
		return sycamorevane.DurableState{}, s.fail(err)
	}
	return sycamorevane.DurableState{HardState: r.hardState, Snapshot: snapshot, Entries: entries}, nil
}

// loadSnapshot returns the newest snapshot. It removes older snapshots and temporary files, which an interrupted write
// leaves behind.
func (s *Store) loadSnapshot(names []string) (sycamorevane.Snapshot, error) {
	var newest sycamorevane.Snapshot
	for i := len(names) - 1; i >= 0; i-- {
		name := names[i]
		index, ok := parseFileNumber(name, snapshotPrefix)
		if strings.HasSuffix(name, tempSuffix) || ok && index < newest.Index {
			if err := s.fs.Remove(s.path(name)); err != nil {
				return newest, errors.Trace(err)
			}
			continue
		}
		if !ok {
			continue
		}
		data, err := s.fs.ReadFile(s.path(name))
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

// loadSegments replays all log segments into r.
func (s *Store) loadSegments(names []string, r *replay) error {
	s.segments = nil
	for _, name := range names {
		if n, ok := parseFileNumber(name, segmentPrefix); ok {
			if len(s.segments) > 0 && n != s.segments[len(s.segments)-1].number+1 {
				return &sycamorevane.CorruptError{File: s.path(name), Reason: "the segment before it is missing"}
			}
			s.segments = append(s.segments, segment{number: n})
		}
	}
	for i := range s.segments {
		seg := &s.segments[i]
		name := s.path(segmentName(seg.number))
		data, err := s.fs.ReadFile(name)
		if err != nil {
			return errors.Trace(err)
		}
		r.maxIndex = 0
		isLast := i == len(s.segments)-1
		intactBytes, err := readSegment(name, data, seg.number, isLast, r.apply)
		if err != nil {
			return err
		}
		seg.lastIndex = r.maxIndex
		if isLast {
			return s.rewriteSegment(seg.number, data[:intactBytes])
		}
	}
	return nil
}

// rewriteSegment replaces the last segment by its intact part. This removes an incomplete last frame. It also makes
// frames durable that were read from the page cache although an earlier sync of them failed.
func (s *Store) rewriteSegment(number uint64, data []byte) error {
	if len(data) == 0 {
		s.segments = s.segments[:len(s.segments)-1]
		return errors.Trace(s.fs.Remove(s.path(segmentName(number))))
	}
	return s.replaceFile(segmentName(number), data)
}

// replaceFile writes a file atomically: under a temporary name, with a sync of the file before the rename and a sync of
// the directory after it.
func (s *Store) replaceFile(name string, data []byte) error {
	tmp := s.path(name + tempSuffix)
	f, err := s.fs.Create(tmp)
	if err != nil {
		return errors.Trace(err)
	}
	if err := writeAndSync(f, data); err != nil {
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

func writeAndSync(f File, data []byte) error {
	n, err := f.Write(data)
	if err != nil {
		return err
	}
	if n < len(data) {
		return io.ErrShortWrite
	}
	return f.Sync()
}

// startSegment starts a new segment with the hard state. If reset is set, the segment also discards all earlier log
// entries.
func (s *Store) startSegment(reset bool) error {
	number := uint64(1)
	if n := len(s.segments); n > 0 {
		number = s.segments[n-1].number + 1
	}
	data := []byte(segmentMagic)
	if reset {
		data = appendFrame(data, number, int64(len(data)), frameReset, encodeIndex(s.baseIndex))
	}
	data = appendFrame(data, number, int64(len(data)), frameHardState, encodeHardState(s.hardState))
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
	s.file, s.fileSize = f, int64(len(data))
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// fail records err if it is the first write error and returns the first write error. The store rejects all later
// writes.
func (s *Store) fail(err error) error {
	if s.writeErr == nil {
		s.writeErr = errors.Annotatef(err, "store %s", s.dir)
	}
	return s.writeErr
}

// checkWritable returns an error if the store is not loaded or a write has failed.
func (s *Store) checkWritable() error {
	if s.writeErr != nil {
		return s.writeErr
	}
	if !s.loaded {
		return errors.Errorf("store %s is not loaded", s.dir)
	}
	return nil
}

func (s *Store) lastIndex() uint64 { return s.baseIndex + uint64(len(s.terms)) }

// writeFrame appends one frame to the current segment and syncs the file. It starts a new segment first if the current
// one has reached segmentRolloverBytes.
func (s *Store) writeFrame(kind uint32, payload []byte) error {
	if s.fileSize >= segmentRolloverBytes {
		if err := s.startSegment(false); err != nil {
			return s.fail(err)
		}
	}
	seg := &s.segments[len(s.segments)-1]
	data := appendFrame(nil, seg.number, s.fileSize, kind, payload)
	if err := writeAndSync(s.file, data); err != nil {
		return s.fail(err)
	}
	s.fileSize += int64(len(data))
	return nil
}

// SaveHardState implements sycamorevane.Store.
func (s *Store) SaveHardState(h sycamorevane.HardState) error {
	if err := s.checkWritable(); err != nil {
		return err
	}
	s.hardState = h
	return s.writeFrame(frameHardState, encodeHardState(h))
}

// Append implements sycamorevane.Store.
func (s *Store) Append(entries []sycamorevane.LogEntry) error {
	if err := s.checkWritable(); err != nil || len(entries) == 0 {
		return err
	}
	for i, e := range entries {
		if want := s.lastIndex() + 1 + uint64(i); e.Index != want {
			return errors.NotValidf("index %d of an appended entry (want %d)", e.Index, want)
		}
	}
	payload, err := encodeEntries(entries)
	if err != nil {
		return s.fail(err)
	}
	if err := s.writeFrame(frameEntries, payload); err != nil {
		return err
	}
	for _, e := range entries {
		s.terms = append(s.terms, e.Term)
	}
	seg := &s.segments[len(s.segments)-1]
	seg.lastIndex = max(seg.lastIndex, s.lastIndex())
	return nil
}

// Truncate implements sycamorevane.Store.
func (s *Store) Truncate(from uint64) error {
	if err := s.checkWritable(); err != nil || from > s.lastIndex() {
		return err
	}
	if from <= s.baseIndex {
		return errors.NotValidf("truncation from index %d (the snapshot covers entries up to %d)", from, s.baseIndex)
	}
	if err := s.writeFrame(frameTruncate, encodeIndex(from)); err != nil {
		return err
	}
	s.terms = s.terms[:from-s.baseIndex-1]
	return nil
}

// SaveSnapshot implements sycamorevane.Store. Entries after the snapshot are kept only if the log contains the last
// entry of the snapshot with the same term. Otherwise the log conflicts with the snapshot and is discarded.
func (s *Store) SaveSnapshot(snap sycamorevane.Snapshot) error {
	if err := s.checkWritable(); err != nil {
		return err
	}
	if snap.Index <= s.snapshot.index {
		return errors.NotValidf("snapshot at index %d (the stored one is at %d)", snap.Index, s.snapshot.index)
	}
	if err := s.replaceFile(snapshotName(snap.Index), encodeSnapshot(snap)); err != nil {
		return s.fail(err)
	}
	oldSnapshot := s.snapshot.index
	s.snapshot.index, s.snapshot.term = snap.Index, snap.Term
	keepLog := snap.Index <= s.lastIndex() && s.terms[snap.Index-s.baseIndex-1] == snap.Term
	if keepLog {
		s.terms = append([]uint64(nil), s.terms[snap.Index-s.baseIndex:]...)
	} else {
		s.terms = nil
	}
	s.baseIndex = snap.Index
	if err := s.startSegment(!keepLog); err != nil {
		return s.fail(err)
	}
	if err := s.removeObsolete(oldSnapshot); err != nil {
		return s.fail(err)
	}
	return nil
}

// removeObsolete removes the old snapshot and, oldest first, the segments whose entries the new snapshot covers. Each removal
// is made durable before the next one: a power failure could undo an earlier one alone, which would leave a gap.
func (s *Store) removeObsolete(oldSnapshot uint64) error {
	if oldSnapshot > 0 {
		if err := s.fs.Remove(s.path(snapshotName(oldSnapshot))); err != nil {
			return errors.Trace(err)
		}
	}
	for len(s.segments) > 1 && (s.segments[0].lastIndex <= s.baseIndex || len(s.terms) == 0) {
		if err := s.fs.Remove(s.path(segmentName(s.segments[0].number))); err != nil {
			return errors.Trace(err)
		}
		if err := s.fs.SyncDir(s.dir); err != nil {
			return errors.Trace(err)
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// Close implements sycamorevane.Store.
func (s *Store) Close() error {
	_ = s.fail(errors.New("store is closed"))
	if s.file != nil {
		_ = s.file.Close()
	}
	return s.lock.Close()
}
