// Package journal says what a manager's journal is: records that are written in transactions before anything that hangs
// on them is sent.
package journal

import (
	"maps"
	"slices"
	"sync"
)

// Record is one thing to be written. A nil value is taken out.
type Record struct {
	Bucket, Key string
	Value       []byte
}

// Store keeps records.
type Store interface {
	// Write writes records in one transaction: all of them or none. What it returns as written stays.
	Write(records []Record) error
	// Read calls a function with each record of a bucket, in the order of their keys; with a nil value for one that is
	// damaged. Values are the function's to keep.
	Read(bucket string, f func(key string, value []byte) error) error
}

// Memory is a store that lasts as long as its process.
type Memory struct {
	mu      sync.Mutex
	buckets map[string]map[string][]byte
}

// Write writes records.
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

// Read calls a function with each record of a bucket.
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
