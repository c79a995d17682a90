package replicator

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// Values of sycamorevane.LogEntry.Kind.
const (
	kindCommand uint8 = iota
	kindMembership
	kindNoop
)

// Member is a member of the consensus cluster, a replica of the control log.
type Member struct {
	Name string
	// Voter is false for a learner, which receives the log but does not vote or count for majorities.
	Voter bool
	// Replaces is the name of the member that is removed once this one is a voter; empty for none.
	Replaces string
}

func encodeMembers(members []Member) []byte {
	m := &encoder.Membership{}
	for _, r := range members {
		m.Members = append(m.Members, &encoder.Replica{Name: r.Name, Voter: r.Voter, Replaces: r.Replaces})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // Marshal fails only on invalid UTF-8, and member names are checked for that.
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

// membership is the list of members set by the log entry at index.
type membership struct {
	index   uint64
	members []Member
}

// log is the in-memory copy of the replicated log. The newest entries covered by the latest snapshot are kept, so that
// a replica that is slightly behind does not need the snapshot.
type log struct {
	// baseIndex and baseTerm are the index and term of the entry before entries[0].
	baseIndex uint64
	baseTerm  uint64
	entries   []sycamorevane.LogEntry
	// persistedIndex is the index of the last entry that the store holds. The entries after it are not written yet.
	persistedIndex uint64
	// truncateFrom is the first index that the store must remove before the next append; zero for none.
	truncateFrom uint64
	snapshot     sycamorevane.Snapshot
	// memberships holds the membership at the snapshot and all later ones, oldest first.
	memberships []membership
	// bytesSinceSnapshot is the total data size of the entries after the snapshot.
	bytesSinceSnapshot int
}

func newLog(d sycamorevane.DurableState) (*log, error) {
	l := &log{
		baseIndex: d.Snapshot.Index, baseTerm: d.Snapshot.Term, snapshot: d.Snapshot, persistedIndex: d.Snapshot.Index,
	}
	if d.Snapshot.Index > 0 {
		members, err := decodeMembers(d.Snapshot.Membership)
		if err != nil {
			return nil, err
		}
		l.memberships = []membership{{d.Snapshot.Index, members}}
	}
	for _, e := range d.Entries {
		if err := l.append(e); err != nil {
			return nil, err
		}
	}
	l.persistedIndex = l.lastIndex()
	return l, nil
}

func (l *log) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at the index, and false if that entry is not in memory.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *log) append(e sycamorevane.LogEntry) error {
	if e.Kind == kindMembership {
		members, err := decodeMembers(e.Data)
		if err != nil {
			return err
		}
		l.memberships = append(l.memberships, membership{e.Index, members})
	}
	l.entries = append(l.entries, e)
	l.bytesSinceSnapshot += len(e.Data)
	return nil
}

// truncate removes the entry at the index and all entries after it.
func (l *log) truncate(from uint64) {
	for _, e := range l.entries[from-l.baseIndex-1:] {
		l.bytesSinceSnapshot -= len(e.Data)
	}
	l.entries = slices.Clip(l.entries[:from-l.baseIndex-1])
	for len(l.memberships) > 0 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	if from <= l.persistedIndex {
		l.persistedIndex = from - 1
		if l.truncateFrom == 0 || from < l.truncateFrom {
			l.truncateFrom = from
		}
	}
}

// slice returns the entries from index from to index to, both included. It returns fewer if they exceed maxBytes, but at
// least one.
func (l *log) slice(from, to uint64, maxBytes int) []sycamorevane.LogEntry {
	if from > to {
		return nil
	}
	entries := l.entries[from-l.baseIndex-1 : to-l.baseIndex]
	size := 0
	for i, e := range entries {
		size += len(e.Data) + entryOverheadBytes
		if i > 0 && size > maxBytes {
			return entries[:i]
		}
	}
	return entries
}

func (l *log) members() []Member {
	if len(l.memberships) == 0 {
		return nil
	}
	return l.memberships[len(l.memberships)-1].members
}

// encodedMembersAt returns the encoded membership at the index.
func (l *log) encodedMembersAt(index uint64) []byte {
	for _, m := range slices.Backward(l.memberships) {
		if m.index <= index {
			return encodeMembers(m.members)
		}
	}
	return nil
}

// compact records a local snapshot and removes the entries that it covers from memory, except the newest ones up to
// retainBytes.
func (l *log) compact(s sycamorevane.Snapshot, retainBytes int) {
	l.snapshot = s
	newBase := s.Index
	for newBase > l.baseIndex {
		retainBytes -= len(l.entries[newBase-l.baseIndex-1].Data) + entryOverheadBytes
		if retainBytes < 0 {
			break
		}
		newBase--
	}
	if newBase > l.baseIndex {
		t, _ := l.term(newBase)
		l.entries = slices.Clone(l.entries[newBase-l.baseIndex:])
		l.baseIndex, l.baseTerm = newBase, t
	}
	for len(l.memberships) > 1 && l.memberships[1].index <= s.Index {
		l.memberships = l.memberships[1:]
	}
	l.bytesSinceSnapshot = 0
	for _, e := range l.entries {
		if e.Index > s.Index {
			l.bytesSinceSnapshot += len(e.Data)
		}
	}
}

// restore replaces the log by a snapshot from the leader. If the log holds the snapshot's last entry, the entries after
// it are kept. The store does the same.
func (l *log) restore(s sycamorevane.Snapshot) error {
	members, err := decodeMembers(s.Membership)
	if err != nil {
		return err
	}
	if t, ok := l.term(s.Index); ok && t == s.Term {
		l.compact(s, 0)
		l.persistedIndex = max(l.persistedIndex, s.Index)
		return nil
	}
	*l = log{
		baseIndex: s.Index, baseTerm: s.Term, persistedIndex: s.Index, snapshot: s,
		memberships: []membership{{s.Index, members}},
	}
	return nil
}
