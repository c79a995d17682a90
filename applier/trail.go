package applier

import "strings"

// History is how many commands the audit trail and the id table keep, 16 days at 990 commands per day. A record
// takes about 400 bytes, so the trail stays below 8 MB.
const History = 16384

// PageLimit bounds one page of the audit trail.
const PageLimit = 500

// maxReason bounds the text kept per record.
const maxReason = 256

// Record is one line of the audit trail.
type Record struct {
	// Seq numbers the records without gaps, from 1.
	Seq   uint64 `json:"seq"`
	Index uint64 `json:"index"`
	// Actor and Time say who sent the command and when, in Unix ms.
	Actor   string  `json:"actor"`
	Time    int64   `json:"time"`
	Outcome Outcome `json:"result"`
}

// Query selects records; empty fields match all.
type Query struct {
	Actor   string
	Op      string
	Result  Result
	ID      string
	Version uint64
	// Description is a part of the description, for example a data centre or service.
	Description string
	// Since and Until bound the time in Unix ms; zero for none.
	Since int64
	Until int64
	// Before continues a listing: only records with a smaller Seq.
	Before uint64
	// Limit bounds the page; zero or above PageLimit means PageLimit.
	Limit int
}

// Page is one page of records, newest first.
type Page struct {
	Records []Record `json:"records"`
	// Next is the Before value of the following page; zero at the end.
	Next uint64 `json:"next,omitempty"`
	// OldestSeq is the Seq of the oldest record kept.
	OldestSeq uint64 `json:"kept"`
}

// trail is a ring of the last History records with an index by command id.
type trail struct {
	records []Record
	// next is the Seq of the next record.
	next uint64
	ids  map[string]uint64
}

func newTrail() *trail { return &trail{next: 1, ids: map[string]uint64{}} }

func (t *trail) add(r Record) {
	r.Seq = t.next
	t.next++
	if len(t.records) < History {
		t.records = append(t.records, r)
	} else {
		slot := &t.records[t.slot(r.Seq)]
		delete(t.ids, slot.Outcome.ID)
		*slot = r
	}
	if r.Outcome.ID != "" {
		t.ids[r.Outcome.ID] = r.Seq
	}
}

func (t *trail) slot(seq uint64) int { return int((seq - 1) % History) }

func (t *trail) byID(id string) (Record, bool) {
	seq, ok := t.ids[id]
	if !ok {
		return Record{}, false
	}
	return t.records[t.slot(seq)], true
}

// kept is the Seq of the oldest record.
func (t *trail) kept() uint64 { return t.next - uint64(len(t.records)) }

func (t *trail) page(q Query) Page {
	limit := q.Limit
	if limit <= 0 || limit > PageLimit {
		limit = PageLimit
	}
	p := Page{OldestSeq: t.kept(), Records: []Record{}}
	seq := t.next
	if q.Before > 0 && q.Before < seq {
		seq = q.Before
	}
	for seq--; seq >= p.OldestSeq && seq > 0; seq-- {
		r := t.records[t.slot(seq)]
		if !q.matches(r) {
			continue
		}
		if len(p.Records) == limit {
			p.Next = seq + 1
			break
		}
		p.Records = append(p.Records, r)
	}
	return p
}

func (q *Query) matches(r Record) bool {
	return (q.Actor == "" || q.Actor == r.Actor) &&
		(q.Op == "" || q.Op == r.Outcome.Op) &&
		(q.Result == "" || q.Result == r.Outcome.Result) &&
		(q.ID == "" || q.ID == r.Outcome.ID) &&
		(q.Version == 0 || q.Version == r.Outcome.Version) &&
		(q.Description == "" || strings.Contains(r.Outcome.Description, q.Description)) &&
		r.Time >= q.Since &&
		(q.Until == 0 || r.Time <= q.Until)
}

func clip(s string) string {
	if len(s) > maxReason {
		return strings.ToValidUTF8(s[:maxReason], "")
	}
	return s
}
