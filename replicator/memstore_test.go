package replicator

import (
	"slices"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

var (
	errDisk  = errors.New("write error")
	errCrash = errors.New("crash during a write")
)

// memStore is a Store in memory whose content outlives the simulated process. fault is called before each write;
// after an error a part of the write may be kept, as on a disk.
type memStore struct {
	d     sycamorevane.DurableState
	fault func() (part float64, err error)
	err   error
}

func (s *memStore) Load() (sycamorevane.DurableState, error) {
	s.err = nil
	d := s.d
	d.Entries = slices.Clone(d.Entries)
	return d, nil
}

// write carries out one operation, or with a fault perhaps a part of it.
func (s *memStore) write(f func(part float64)) error {
	if s.err != nil {
		return s.err
	}
	if s.fault != nil {
		var part float64
		if part, s.err = s.fault(); s.err != nil {
			f(part)
			return s.err
		}
	}
	f(1)
	return nil
}

func (s *memStore) last() uint64 { return s.d.Snapshot.Index + uint64(len(s.d.Entries)) }

func (s *memStore) SaveHardState(h sycamorevane.HardState) error {
	return s.write(func(part float64) {
		if part > 0.5 {
			s.d.HardState = h
		}
	})
}

func (s *memStore) Append(entries []sycamorevane.LogEntry) error {
	for i, e := range entries {
		if e.Index != s.last()+1+uint64(i) {
			return errors.NotValidf("entry %d where %d follows", e.Index, s.last()+1+uint64(i))
		}
	}
	return s.write(func(part float64) {
		// A copy, since the caller may reuse the slice.
		n := int(part * float64(len(entries)))
		s.d.Entries = slices.Concat(s.d.Entries, entries[:n])
	})
}

func (s *memStore) Truncate(from uint64) error {
	if from <= s.d.Snapshot.Index {
		return errors.NotValidf("truncation from %d", from)
	}
	return s.write(func(part float64) {
		if part > 0.5 && from <= s.last() {
			s.d.Entries = slices.Clip(s.d.Entries[:from-s.d.Snapshot.Index-1])
		}
	})
}

func (s *memStore) SaveSnapshot(snap sycamorevane.Snapshot) error {
	if snap.Index <= s.d.Snapshot.Index {
		return errors.NotValidf("snapshot at %d", snap.Index)
	}
	return s.write(func(part float64) {
		if part <= 0.5 {
			return
		}
		keeps := snap.Index <= s.last() && s.d.Entries[snap.Index-s.d.Snapshot.Index-1].Term == snap.Term
		if keeps {
			s.d.Entries = slices.Clone(s.d.Entries[snap.Index-s.d.Snapshot.Index:])
		} else {
			s.d.Entries = nil
		}
		s.d.Snapshot = snap
	})
}

func (s *memStore) Close() error {
	s.err = errors.New("store is closed")
	return nil
}
