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

// memStore is an in-memory Store whose content survives a simulated restart of the process. fault is called before each
// write. If it returns an error, the given fraction of the write is stored, as a disk may store a part of a failed
// write.
type memStore struct {
	durable sycamorevane.DurableState
	fault   func() (fraction float64, err error)
	err     error
}

func (s *memStore) Load() (sycamorevane.DurableState, error) {
	s.err = nil
	d := s.durable
	d.Entries = slices.Clone(d.Entries)
	return d, nil
}

// writeOrFail performs one write, or the fraction of it that fault returns with an error.
func (s *memStore) writeOrFail(apply func(fraction float64)) error {
	if s.err != nil {
		return s.err
	}
	if s.fault != nil {
		var fraction float64
		if fraction, s.err = s.fault(); s.err != nil {
			apply(fraction)
			return s.err
		}
	}
	apply(1)
	return nil
}

func (s *memStore) last() uint64 { return s.durable.Snapshot.Index + uint64(len(s.durable.Entries)) }

func (s *memStore) SaveHardState(h sycamorevane.HardState) error {
	return s.writeOrFail(func(fraction float64) {
		if fraction > 0.5 {
			s.durable.HardState = h
		}
	})
}

func (s *memStore) Append(entries []sycamorevane.LogEntry) error {
	for i, e := range entries {
		if e.Index != s.last()+1+uint64(i) {
			return errors.NotValidf("append of entry %d instead of %d", e.Index, s.last()+1+uint64(i))
		}
	}
	return s.writeOrFail(func(fraction float64) {
		// Copies the entries, since the caller may reuse the slice.
		n := int(fraction * float64(len(entries)))
		s.durable.Entries = slices.Concat(s.durable.Entries, entries[:n])
	})
}

func (s *memStore) Truncate(from uint64) error {
	if from <= s.durable.Snapshot.Index {
		return errors.NotValidf("truncation from %d", from)
	}
	return s.writeOrFail(func(fraction float64) {
		if fraction > 0.5 && from <= s.last() {
			s.durable.Entries = slices.Clip(s.durable.Entries[:from-s.durable.Snapshot.Index-1])
		}
	})
}

func (s *memStore) SaveSnapshot(snap sycamorevane.Snapshot) error {
	if snap.Index <= s.durable.Snapshot.Index {
		return errors.NotValidf("snapshot at %d", snap.Index)
	}
	return s.writeOrFail(func(fraction float64) {
		if fraction <= 0.5 {
			return
		}
		holdsLastEntry := snap.Index <= s.last() && s.durable.Entries[snap.Index-s.durable.Snapshot.Index-1].Term == snap.Term
		if holdsLastEntry {
			s.durable.Entries = slices.Clone(s.durable.Entries[snap.Index-s.durable.Snapshot.Index:])
		} else {
			s.durable.Entries = nil
		}
		s.durable.Snapshot = snap
	})
}

func (s *memStore) Close() error {
	s.err = errors.New("store is closed")
	return nil
}
