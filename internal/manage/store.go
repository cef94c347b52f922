package manage

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"example.org/micaline/internal/change"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/inventory"
	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/rollout"
)

// damagedRecordError returns the error for a journal record that can't be read.
func damagedRecordError(bucket, key string) error {
	return fmt.Errorf("the journal's record %s/%q is damaged", bucket, key)
}

// load reads the journal. It skips damaged announcements. If the record of an instance in a rollout
// is damaged, the instance's outcome is unknown. Other damaged records are errors.
func (m *Manager) load() error {
	store := m.opts.Store
	err := errors.Join(
		store.Read(metaBucket, func(key string, v []byte) error {
			if key != "fence" {
				return nil
			}
			return decodeRecord(metaBucket, key, v, &m.storedFence)
		}),
		store.Read(documentBucket, func(key string, v []byte) error {
			d := &document.Document{}
			m.documents[key] = d
			return decodeRecord(documentBucket, key, v, d)
		}),
		store.Read(wantedBucket, func(key string, v []byte) error {
			var hash string
			err := decodeRecord(wantedBucket, key, v, &hash)
			m.wanted[key] = hash
			return err
		}),
		store.Read(announcedBucket, func(key string, v []byte) error {
			var in inventory.Instance
			if err := decodeRecord(announcedBucket, key, v, &in); err != nil {
				m.damagedRecords = append(m.damagedRecords, err.Error()) // the instance announces itself again
				return nil
			}
			m.registerInstance(in).announcedAt = now()
			return nil
		}),
	)
	headers, members := map[string]rollout.Header{}, map[string][]rollout.Member{}
	err = errors.Join(err,
		store.Read(rolloutBucket, func(key string, v []byte) error {
			var h rollout.Header
			err := decodeRecord(rolloutBucket, key, v, &h)
			headers[key] = h
			return err
		}),
		store.Read(memberBucket, func(key string, v []byte) error {
			id, name, _ := strings.Cut(key, "\x00")
			var x rollout.Member
			if err := decodeRecord(memberBucket, key, v, &x); err != nil {
				m.damagedRecords = append(m.damagedRecords, err.Error())
				x = rollout.Member{Name: name, Target: change.Target{State: change.Unknown, Sent: true, Reason: "its record in the journal is damaged"}}
			}
			members[id] = append(members[id], x)
			return nil
		}),
	)
	if err != nil {
		return err
	}
	for id, h := range headers {
		m.rollouts[id] = rollout.Restore(h, members[id])
		m.rolloutOrder = append(m.rolloutOrder, id)
	}
	slices.SortFunc(m.rolloutOrder, func(a, b string) int { return int(headers[a].Begun - headers[b].Begun) })
	for _, instance := range m.instances {
		instance.reconciler.Desired = m.wanted[instance.Name]
	}
	return nil
}

// decodeRecord decodes the value of a record. The store passes nil for a damaged one.
func decodeRecord(bucket, key string, v []byte, to any) error {
	if v == nil || json.Unmarshal(v, to) != nil {
		return damagedRecordError(bucket, key)
	}
	return nil
}

func (m *Manager) appendRecord(bucket, key string, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of records can always be encoded
	}
	m.pendingRecords = append(m.pendingRecords, journal.Record{Bucket: bucket, Key: key, Value: text})
}
