package replicator

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// Kinds of log entry, as documented at sycamorevane.LogEntry.
const (
	kindCommand uint8 = iota
	kindMembers
	kindNoop
)

// Member is one replica of the control log.
type Member struct {
	Name string
	// Voter is false for a learner, which receives the log and does not count for quorums.
	Voter bool
	// Replaces names the member that is removed once this one votes; empty for none.
	Replaces string
}

func encodeMembers(members []Member) []byte {
	m := &encoder.Membership{}
	for _, r := range members {
		m.Members = append(m.Members, &encoder.Replica{Name: r.Name, Voter: r.Voter, Replaces: r.Replaces})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // Marshal fails only on invalid UTF-8, which member names are checked for.
	}
	return data
}

func decodeMembers(data []byte) ([]Member, error) {
	m := &encoder.Membership{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, err
	}
	members := make([]Member, 0, len(m.Members))
	for _, r := range m.Members {
		members = append(members, Member{Name: r.Name, Voter: r.Voter, Replaces: r.Replaces})
	}
	return members, nil
}

// membership is the member list set by the entry at index.
type membership struct {
	index   uint64
	members []Member
}

// log is the in-memory copy of the replicated log. Entries covered by the latest snapshot are kept for a while,
// so that a replica that is a little behind does not need the snapshot.
type log struct {
	// base and baseTerm belong to the entry before entries[0].
	base     uint64
	baseTerm uint64
	entries  []sycamorevane.LogEntry
	// stored is the last index that the store holds; entries after it wait to be written.
	stored uint64
	// truncate is the first index that the store has to remove before the next append; zero for none.
	truncate uint64
	snapshot sycamorevane.Snapshot
	// configs holds the membership at the base and all later ones, oldest first.
	configs []membership
	// bytes is the size of the data of the entries after the snapshot.
	bytes int
}

func newLog(d sycamorevane.DurableState) (*log, error) {
	l := &log{base: d.Snapshot.Index, baseTerm: d.Snapshot.Term, snapshot: d.Snapshot, stored: d.Snapshot.Index}
	if d.Snapshot.Index > 0 {
		members, err := decodeMembers(d.Snapshot.Membership)
		if err != nil {
			return nil, err
		}
		l.configs = []membership{{d.Snapshot.Index, members}}
	}
	for _, e := range d.Entries {
		if err := l.append(e); err != nil {
			return nil, err
		}
	}
	l.stored = l.last()
	return l, nil
}

func (l *log) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry and false when the index is not in memory.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *log) append(e sycamorevane.LogEntry) error {
	if e.Kind == kindMembers {
		members, err := decodeMembers(e.Data)
		if err != nil {
			return err
		}
		l.configs = append(l.configs, membership{e.Index, members})
	}
	l.entries = append(l.entries, e)
	l.bytes += len(e.Data)
	return nil
}

// cut removes all entries from the index on.
func (l *log) cut(from uint64) {
	for _, e := range l.entries[from-l.base-1:] {
		l.bytes -= len(e.Data)
	}
	l.entries = slices.Clip(l.entries[:from-l.base-1])
	for len(l.configs) > 0 && l.configs[len(l.configs)-1].index >= from {
		l.configs = l.configs[:len(l.configs)-1]
	}
	if from <= l.stored {
		l.stored = from - 1
		if l.truncate == 0 || from < l.truncate {
			l.truncate = from
		}
	}
}

// slice returns entries from the index on, at least one and at most limit bytes of data.
func (l *log) slice(from, to uint64, limit int) []sycamorevane.LogEntry {
	if from > to {
		return nil
	}
	entries := l.entries[from-l.base-1 : to-l.base]
	size := 0
	for i, e := range entries {
		size += len(e.Data) + entryOverhead
		if i > 0 && size > limit {
			return entries[:i]
		}
	}
	return entries
}

func (l *log) members() []Member {
	if len(l.configs) == 0 {
		return nil
	}
	return l.configs[len(l.configs)-1].members
}

// membersAt returns the encoded membership in force at the index.
func (l *log) membersAt(index uint64) []byte {
	for _, c := range slices.Backward(l.configs) {
		if c.index <= index {
			return encodeMembers(c.members)
		}
	}
	return nil
}

// compact records a local snapshot and drops entries from memory, except the newest ones up to keep bytes.
func (l *log) compact(s sycamorevane.Snapshot, keep int) {
	l.snapshot = s
	first := s.Index
	for first > l.base {
		keep -= len(l.entries[first-l.base-1].Data) + entryOverhead
		if keep < 0 {
			break
		}
		first--
	}
	if first > l.base {
		t, _ := l.term(first)
		l.entries = slices.Clone(l.entries[first-l.base:])
		l.base, l.baseTerm = first, t
	}
	for len(l.configs) > 1 && l.configs[1].index <= s.Index {
		l.configs = l.configs[1:]
	}
	l.bytes = 0
	for _, e := range l.entries {
		if e.Index > s.Index {
			l.bytes += len(e.Data)
		}
	}
}

// restore replaces the log by a snapshot from the leader. Entries after it are kept when the log holds the
// snapshot's last entry, which is also what the store does.
func (l *log) restore(s sycamorevane.Snapshot) error {
	members, err := decodeMembers(s.Membership)
	if err != nil {
		return err
	}
	if t, ok := l.term(s.Index); ok && t == s.Term {
		l.compact(s, 0)
		l.stored = max(l.stored, s.Index)
		return nil
	}
	*l = log{
		base: s.Index, baseTerm: s.Term, stored: s.Index, snapshot: s,
		configs: []membership{{s.Index, members}},
	}
	return nil
}
