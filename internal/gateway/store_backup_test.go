package gateway_test

import (
	"bytes"
	"maps"
	"slices"

	"stiletrail/internal/message"
)

// storeBackup is a store as it was at a moment.
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

// restore brings the store back from a copy: what it has acknowledged since is gone, and revisions are given out again in a new era.
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

// rewriteLost writes again what the operator and the back ends had written and a copy lacks, and takes away what they had taken away.
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
