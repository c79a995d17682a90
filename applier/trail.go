package applier

import "strings"

// MaxAuditRecords is the maximum number of commands in the audit trail and in its index by command id; it covers 16
// days at 990 commands per day. A record takes about 400 bytes, so the trail stays below 8 MB.
const MaxAuditRecords = 16384

// MaxPageRecords is the maximum number of records in one page of the audit trail.
const MaxPageRecords = 500

// maxTextBytes is the maximum length of a reason or description in a record.
const maxTextBytes = 256

// Record is one record of the audit trail.
type Record struct {
	// Seq numbers the records from 1 without gaps.
	Seq uint64 `json:"seq"`
	// Index is the log index of the command.
	Index uint64 `json:"index"`
	// Actor sent the command; Time is when it was accepted, in Unix ms.
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
	// Description is a substring of the description, for example a data centre or service.
	Description string
	// Since and Until limit the time of the records, inclusive; Unix ms, zero for no limit.
	Since int64
	Until int64
	// Before selects only records with a smaller Seq; it continues a listing after Page.Next.
	Before uint64
	// Limit is the maximum number of records in the page; zero or above MaxPageRecords means MaxPageRecords.
	Limit int
}

// Page is one page of records, newest first.
type Page struct {
	Records []Record `json:"records"`
	// Next is the value of Query.Before for the following page; zero on the last page.
	Next uint64 `json:"next,omitempty"`
	// OldestSeq is the Seq of the oldest record in the audit trail.
	OldestSeq uint64 `json:"kept"`
}

// auditTrail is a ring buffer of the last MaxAuditRecords records with an index by command id.
type auditTrail struct {
	records []Record
	// nextSeq is the Seq of the next record.
	nextSeq uint64
	// ids holds the Seq by command id.
	ids map[string]uint64
}

func newAuditTrail() *auditTrail { return &auditTrail{nextSeq: 1, ids: map[string]uint64{}} }

func (t *auditTrail) add(r Record) {
	r.Seq = t.nextSeq
	t.nextSeq++
	if len(t.records) < MaxAuditRecords {
		t.records = append(t.records, r)
	} else {
		oldest := &t.records[t.ringIndex(r.Seq)]
		delete(t.ids, oldest.Outcome.ID)
		*oldest = r
	}
	if r.Outcome.ID != "" {
		t.ids[r.Outcome.ID] = r.Seq
	}
}

func (t *auditTrail) ringIndex(seq uint64) int { return int((seq - 1) % MaxAuditRecords) }

func (t *auditTrail) byID(id string) (Record, bool) {
	seq, ok := t.ids[id]
	if !ok {
		return Record{}, false
	}
	return t.records[t.ringIndex(seq)], true
}

// oldestSeq returns the Seq of the oldest record.
func (t *auditTrail) oldestSeq() uint64 { return t.nextSeq - uint64(len(t.records)) }

func (t *auditTrail) page(q Query) Page {
	limit := q.Limit
	if limit <= 0 || limit > MaxPageRecords {
		limit = MaxPageRecords
	}
	p := Page{OldestSeq: t.oldestSeq(), Records: []Record{}}
	seq := t.nextSeq
	if q.Before > 0 && q.Before < seq {
		seq = q.Before
	}
	for seq--; seq >= p.OldestSeq && seq > 0; seq-- {
		r := t.records[t.ringIndex(seq)]
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

func truncateText(s string) string {
	if len(s) > maxTextBytes {
		return strings.ToValidUTF8(s[:maxTextBytes], "")
	}
	return s
}
