package applier

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

// snapshotHeader is the first line of a snapshot; one line per audit record follows. The lines are encoded and decoded
// one by one and compressed, because encoding the whole audit trail at once takes several times its size in memory.
type snapshotHeader struct {
	Format    int                 `json:"format"`
	Index     uint64              `json:"index"`
	State     *sycamorevane.State `json:"state"`
	Actor     string              `json:"by"`
	ChangedAt int64               `json:"at"`
	Targets   map[string]Target   `json:"targets"`
	// Usage is nil while no window has counts.
	Usage *UsageState `json:"usage,omitempty"`
	// Orders is nil while no command was decided that another one can take back, and in snapshots of earlier versions.
	Orders *orderIndex `json:"orders,omitempty"`
	// NextSeq is the Seq of the next record. The records are in ascending order of Seq and end at NextSeq-1.
	NextSeq uint64 `json:"next"`
	// Count is the number of records that follow.
	Count int `json:"count"`
}

// Snapshot implements sycamorevane.StateMachine. Machines with the same state return the same bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	e := json.NewEncoder(z)
	usage := m.usage.Load()
	if usage.Last == 0 {
		usage = nil
	}
	orders := &m.orders
	if len(orders.Last) == 0 && orders.Floor == 0 {
		orders = nil
	}
	err = e.Encode(snapshotHeader{
		Format: FormatVersion, Index: m.index, State: m.State(), Actor: m.actor, ChangedAt: m.changedAt, Targets: m.targets, Usage: usage, Orders: orders,
		NextSeq: m.trail.nextSeq, Count: len(m.trail.records),
	})
	for seq := m.trail.oldestSeq(); err == nil && seq < m.trail.nextSeq; seq++ {
		err = e.Encode(m.trail.records[m.trail.ringIndex(seq)])
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := z.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return out.Bytes(), nil
}

// Restore implements sycamorevane.StateMachine. On an error the machine keeps its state.
func (m *Machine) Restore(data []byte) error {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Annotate(err, "state snapshot")
	}
	d := json.NewDecoder(z)
	h, err := readSnapshotHeader(d)
	if err != nil {
		return errors.Trace(err)
	}
	t, err := readAuditTrail(d, h)
	if err != nil {
		return errors.Trace(err)
	}
	// Reading to the end also verifies the gzip checksum.
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.Errorf("state snapshot does not end after its last record: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Store(h.State)
	m.actor = h.Actor
	m.changedAt = h.ChangedAt
	m.targets = h.Targets
	m.usage.Store(h.Usage)
	m.trail = t
	m.orders = *h.Orders
	m.index = 0
	m.advance(h.Index)
	return nil
}

func readSnapshotHeader(d *json.Decoder) (snapshotHeader, error) {
	var h snapshotHeader
	if err := d.Decode(&h); err != nil {
		return h, errors.Annotate(err, "state snapshot")
	}
	if h.Format != FormatVersion {
		return h, errors.Errorf("state snapshot has format %d, which is not supported", h.Format)
	}
	if h.State == nil {
		return h, errors.New("state snapshot has no state")
	}
	if h.Targets == nil {
		h.Targets = map[string]Target{}
	}
	if h.Usage == nil {
		h.Usage = &UsageState{}
	}
	if h.Orders == nil || h.Orders.Last == nil {
		orders := newOrderIndex()
		h.Orders = &orders
	}
	// The audit trail holds every record until there are MaxAuditRecords of them, and then always the last
	// MaxAuditRecords, so the count follows from NextSeq.
	if h.NextSeq == 0 || uint64(h.Count) != min(h.NextSeq-1, MaxAuditRecords) {
		return h, errors.Errorf("state snapshot has %d records up to number %d", h.Count, h.NextSeq)
	}
	return h, nil
}

func readAuditTrail(d *json.Decoder, h snapshotHeader) (*auditTrail, error) {
	t := newAuditTrail()
	t.nextSeq = h.NextSeq
	t.records = make([]Record, h.Count)
	for seq := t.oldestSeq(); seq < h.NextSeq; seq++ {
		var r Record
		if err := d.Decode(&r); err != nil {
			return nil, errors.Annotatef(err, "state snapshot, record %d", seq)
		}
		if r.Seq != seq {
			return nil, errors.Errorf("state snapshot has record %d in place of %d", r.Seq, seq)
		}
		t.records[t.ringIndex(seq)] = r
		if r.Outcome.ID != "" {
			t.ids[r.Outcome.ID] = seq
		}
	}
	return t, nil
}
