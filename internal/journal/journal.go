// Package journal defines the journal of a manager. It holds records that are written in
// transactions, before the manager sends any request that depends on them.
package journal

import (
	"maps"
	"slices"
	"sync"
)

// Record is a value to write under a key of a bucket. A nil value deletes the key.
type Record struct {
	Bucket, Key string
	Value       []byte
}

// Store stores records in buckets.
type Store interface {
	// Write writes records in one transaction: all of them or none. If it returns nil, the records
	// are durable.
	Write(records []Record) error
	// Read calls f for each record of a bucket, in the order of their keys. The value of a damaged
	// record is nil. f may keep the values. Read stops at the first error of f and returns it.
	Read(bucket string, f func(key string, value []byte) error) error
}

// Memory is a store in memory, without durability. The zero value is an empty store.
type Memory struct {
	mu      sync.Mutex
	buckets map[string]map[string][]byte
}

// Write implements Store.
func (m *Memory) Write(records []Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.buckets == nil {
		m.buckets = map[string]map[string][]byte{}
	}
	for _, r := range records {
		b := m.buckets[r.Bucket]
		if b == nil {
			b = map[string][]byte{}
			m.buckets[r.Bucket] = b
		}
		if r.Value == nil {
			delete(b, r.Key)
		} else {
			b[r.Key] = slices.Clone(r.Value)
		}
	}
	return nil
}

// Read implements Store.
func (m *Memory) Read(bucket string, f func(key string, value []byte) error) error {
	m.mu.Lock()
	b := maps.Clone(m.buckets[bucket])
	m.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(b)) {
		if err := f(key, slices.Clone(b[key])); err != nil {
			return err
		}
	}
	return nil
}
