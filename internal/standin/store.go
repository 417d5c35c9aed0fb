package standin

import (
	"sort"
	"strings"

	"stiletrail/internal/platform"
)

// Store is a model of the key-value service.
type Store struct {
	entries map[string]platform.Entry
	version uint64
	era     uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[string]platform.Entry{}} }

// Get returns the entry of a key; one that is not there has the era alone.
func (s *Store) Get(key string) (platform.Entry, bool) {
	entry, found := s.entries[key]
	entry.Era = s.era
	return entry, found
}

// Era of the store.
func (s *Store) Era() uint64 { return s.era }

// List returns the entries with a prefix, in the order of keys.
func (s *Store) List(prefix string) []platform.Entry {
	var entries []platform.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// CompareAndSwap writes if the key is still at the base, of version zero for absent.
func (s *Store) CompareAndSwap(key string, base platform.Stamp, value []byte) (platform.Entry, bool) {
	present, _ := s.Get(key)
	if present.Stamp != base {
		return present, false
	}
	s.version++
	entry := platform.Entry{Key: key, Stamp: platform.Stamp{Era: s.era, Version: s.version}, Value: value}
	s.entries[key] = entry
	return entry, true
}

// Delete removes a key, as when its lease lapses.
func (s *Store) Delete(key string) { delete(s.entries, key) }

// Backup returns a copy of what is stored, for a later Restore.
func (s *Store) Backup() map[string]platform.Entry {
	copied := make(map[string]platform.Entry, len(s.entries))
	for key, entry := range s.entries {
		copied[key] = entry
	}
	return copied
}

// RestoreReusingVersions puts an older copy in place whose versions are given out again from there on, in another era.
func (s *Store) RestoreReusingVersions(copied map[string]platform.Entry) {
	s.entries, s.version = map[string]platform.Entry{}, 0
	s.era++
	for key, entry := range copied {
		entry.Era = s.era
		s.entries[key] = entry
		s.version = max(s.version, entry.Version)
	}
}

// Restore puts an older copy in place, as after a loss of the service's data. Versions go on rising.
func (s *Store) Restore(copied map[string]platform.Entry) {
	s.entries = make(map[string]platform.Entry, len(copied))
	for key, entry := range copied {
		s.version++
		entry.Version = s.version
		s.entries[key] = entry
	}
}
