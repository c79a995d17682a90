package persister

import (
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

// replay rebuilds the hard state and the log from the frames of all segments.
type replay struct {
	hardState sycamorevane.HardState
	entries   []sycamorevane.LogEntry
	// nextIndex is the index that the next entry must have; zero if any is allowed.
	nextIndex uint64
	// maxIndex is the highest entry index since the caller last set it to zero.
	maxIndex uint64
}

func (r *replay) apply(f frame) error {
	switch f.kind {
	case frameHardState:
		h, err := decodeHardState(f.payload)
		r.hardState = h
		return err
	case frameEntries:
		entries, err := decodeEntries(f.payload)
		if err != nil {
			return err
		}
		return r.append(entries)
	case frameTruncate:
		from, err := decodeIndex(f.payload)
		if err != nil {
			return err
		}
		return r.truncate(from)
	case frameReset:
		base, err := decodeIndex(f.payload)
		r.entries, r.nextIndex = nil, base+1
		return err
	}
	return errors.Errorf("frame of unknown kind %d", f.kind)
}

func (r *replay) append(entries []sycamorevane.LogEntry) error {
	for _, e := range entries {
		if r.nextIndex != 0 && e.Index != r.nextIndex || e.Index == 0 {
			return errors.Errorf("entry has index %d, want %d", e.Index, r.nextIndex)
		}
		r.entries = append(r.entries, e)
		r.nextIndex = e.Index + 1
		r.maxIndex = max(r.maxIndex, e.Index)
	}
	return nil
}

// truncate removes the entries with indexes >= from. These entries may be absent, if a snapshot covered their segment
// and it was removed. If damage is the cause instead, entriesAfter reports the gap.
func (r *replay) truncate(from uint64) error {
	if from == 0 || r.nextIndex != 0 && from > r.nextIndex {
		return errors.Errorf("truncation from index %d, after the end of the log", from)
	}
	if len(r.entries) > 0 && from > r.entries[0].Index {
		r.entries = r.entries[:from-r.entries[0].Index]
	} else {
		r.entries = nil
	}
	r.nextIndex = from
	return nil
}

// entriesAfter returns the entries that follow the snapshot. It sets reset if all log entries must be discarded,
// because the log ends before the snapshot or conflicts with it.
func (r *replay) entriesAfter(s sycamorevane.Snapshot) (entries []sycamorevane.LogEntry, reset bool, err error) {
	if r.nextIndex == 0 || r.nextIndex <= s.Index {
		return nil, s.Index > 0, nil
	}
	first := r.nextIndex
	if len(r.entries) > 0 {
		first = r.entries[0].Index
	}
	if first > s.Index+1 {
		return nil, false, errors.Errorf("log starts at index %d, but the snapshot ends at index %d", first, s.Index)
	}
	if first == s.Index+1 {
		return r.entries, false, nil
	}
	if r.entries[s.Index-first].Term != s.Term {
		return nil, true, nil
	}
	return append([]sycamorevane.LogEntry(nil), r.entries[s.Index+1-first:]...), false, nil
}
