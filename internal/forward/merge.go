package forward

import (
	"bytes"
	"slices"
	"sort"
)

// RecordSize is the size of a record in bytes. Bytes of an answer after its last complete record are ignored.
const RecordSize = 16

type record [RecordSize]byte

// merger keeps the greatest records that it was given, greatest first, at most top of them. Equal records are all
// kept.
type merger struct {
	top     int
	records []record
}

func newMerger(top int) *merger {
	return &merger{top: top, records: make([]record, 0, top+1)}
}

func (m *merger) add(part []byte) {
	for ; len(part) >= RecordSize; part = part[RecordSize:] {
		m.insert(record(part[:RecordSize]))
	}
}

func (m *merger) insert(candidate record) {
	full := len(m.records) == m.top
	if m.top == 0 || full && bytes.Compare(candidate[:], m.records[m.top-1][:]) <= 0 {
		return
	}
	place := sort.Search(len(m.records), func(i int) bool {
		return bytes.Compare(m.records[i][:], candidate[:]) < 0
	})
	if full {
		m.records = m.records[:m.top-1]
	}
	m.records = slices.Insert(m.records, place, candidate)
}

func (m *merger) bytes() []byte {
	all := make([]byte, 0, len(m.records)*RecordSize)
	for i := range m.records {
		all = append(all, m.records[i][:]...)
	}
	return all
}
