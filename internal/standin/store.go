package standin

import (
	"sort"
	"strings"

	"stiletrail/internal/platform"
)

// Store is a model of the key-value store. Its era counts the restores after which version numbers were reused.
type Store struct {
	entries map[string]platform.Entry
	version uint64
	era     uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[string]platform.Entry{}} }

// Get returns the entry of a key. For an absent key only the era of the returned entry is set.
func (s *Store) Get(key string) (platform.Entry, bool) {
	entry, found := s.entries[key]
	entry.Era = s.era
	return entry, found
}

// Era returns the era of the store.
func (s *Store) Era() uint64 { return s.era }

// List returns the entries whose keys have the prefix, sorted by key.
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

// CompareAndSwap writes a value if the stamp of the key's entry is still the base. The base of an absent key has version zero and
// the era of the store. It returns the present entry and whether the value was written.
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

// Delete removes a key, for example when its lease expires.
func (s *Store) Delete(key string) { delete(s.entries, key) }

// Backup returns a copy of all entries, for a later Restore or RestoreReusingVersions.
func (s *Store) Backup() map[string]platform.Entry {
	copied := make(map[string]platform.Entry, len(s.entries))
	for key, entry := range s.entries {
		copied[key] = entry
	}
	return copied
}

// RestoreReusingVersions replaces all entries by those of a backup and starts a new era. Version numbers given out since the backup
// are used again.
func (s *Store) RestoreReusingVersions(copied map[string]platform.Entry) {
	s.entries, s.version = map[string]platform.Entry{}, 0
	s.era++
	for key, entry := range copied {
		entry.Era = s.era
		s.entries[key] = entry
		s.version = max(s.version, entry.Version)
	}
}

// Restore replaces all entries by those of a backup, as after a loss of the store's data. Version numbers continue to rise: each
// restored entry gets a new one.
func (s *Store) Restore(copied map[string]platform.Entry) {
	s.entries = make(map[string]platform.Entry, len(copied))
	for key, entry := range copied {
		s.version++
		entry.Version = s.version
		s.entries[key] = entry
	}
}
