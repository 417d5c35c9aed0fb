package gateway_test

import (
	"bytes"
	"maps"
	"slices"

	"stiletrail/internal/message"
)

// storeBackup is the content of a store at one moment.
type storeBackup struct {
	items             map[string]message.StoreRecord
	history           []message.StoreRecord
	revision, dropped uint64
}

func (s *fakeStore) backup() storeBackup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return storeBackup{maps.Clone(s.items), slices.Clone(s.history), s.revision, s.compacted}
}

// restore restores the store from a backup. What the store has acknowledged since is lost, and the same revision
// numbers are used again in a new era.
func (s *fakeStore) restore(c storeBackup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.items, s.history = map[string]message.StoreRecord{}, nil
	for key, record := range c.items {
		record.Revision.Era = s.era
		s.items[key] = record
	}
	for _, record := range c.history {
		record.Revision.Era = s.era
		s.history = append(s.history, record)
	}
	s.revision, s.compacted = c.revision, c.dropped
	close(s.changed)
	s.changed = make(chan struct{})
}

// rewriteLost writes again the records of the operator and the back ends that a backup lacks, and deletes again what
// they had deleted.
func (s *fakeStore) rewriteLost() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.written)) {
		record := s.written[key]
		known, there := s.items[key]
		if there == record.Deleted || !bytes.Equal(known.Value, record.Value) {
			s.apply(record)
		}
	}
}
