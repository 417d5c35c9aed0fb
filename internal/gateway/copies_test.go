package gateway_test

import (
	"bytes"
	"maps"
	"slices"

	"stiletrail/internal/message"
)

// storeCopy is a store as it was at a moment.
type storeCopy struct {
	items             map[string]message.StoreRecord
	history           []message.StoreRecord
	revision, dropped uint64
}

func (s *fakeStore) copy() storeCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return storeCopy{maps.Clone(s.items), slices.Clone(s.history), s.revision, s.dropped}
}

// restore brings the store back from a copy: what it has acknowledged since is gone, and revisions are given out again in a new era.
func (s *fakeStore) restore(c storeCopy) {
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
	s.revision, s.dropped = c.revision, c.dropped
	close(s.changed)
	s.changed = make(chan struct{})
}

// rewrite writes again what the operator and the back ends had written and a copy lacks, and takes away what they had taken away.
func (s *fakeStore) rewrite() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.written)) {
		record := s.written[key]
		known, there := s.items[key]
		if there == record.Deleted || !bytes.Equal(known.Value, record.Value) {
			s.note(record)
		}
	}
}
