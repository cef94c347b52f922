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

// errDamaged is a record without which the manager can't go on.
func errDamaged(bucket, key string) error {
	return fmt.Errorf("the journal's record %s/%q is damaged", bucket, key)
}

// load reads the journal. Of a damaged record of an instance in a rollout it knows that it does not know; other damage is an
// error.
func (m *Manager) load() error {
	s := m.opts.Store
	err := errors.Join(
		s.Read(metaBucket, func(key string, v []byte) error {
			if key != "fence" {
				return nil
			}
			return decode(metaBucket, key, v, &m.stored)
		}),
		s.Read(documentBucket, func(key string, v []byte) error {
			d := &document.Document{}
			m.documents[key] = d
			return decode(documentBucket, key, v, d)
		}),
		s.Read(wantedBucket, func(key string, v []byte) error {
			var hash string
			err := decode(wantedBucket, key, v, &hash)
			m.wanted[key] = hash
			return err
		}),
		s.Read(announcedBucket, func(key string, v []byte) error {
			var in inventory.Instance
			if err := decode(announcedBucket, key, v, &in); err != nil {
				m.damaged = append(m.damaged, err.Error()) // it will announce itself again
				return nil
			}
			m.place(in).announced = now()
			return nil
		}),
	)
	headers, members := map[string]rollout.Header{}, map[string][]rollout.Member{}
	err = errors.Join(err,
		s.Read(rolloutBucket, func(key string, v []byte) error {
			var h rollout.Header
			err := decode(rolloutBucket, key, v, &h)
			headers[key] = h
			return err
		}),
		s.Read(memberBucket, func(key string, v []byte) error {
			id, name, _ := strings.Cut(key, "\x00")
			var x rollout.Member
			if err := decode(memberBucket, key, v, &x); err != nil {
				m.damaged = append(m.damaged, err.Error())
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
		m.order = append(m.order, id)
	}
	slices.SortFunc(m.order, func(a, b string) int { return int(headers[a].Begun - headers[b].Begun) })
	for _, p := range m.places {
		p.keeper.Desired = m.wanted[p.Name]
	}
	return nil
}

func decode(bucket, key string, v []byte, to any) error {
	if v == nil || json.Unmarshal(v, to) != nil {
		return errDamaged(bucket, key)
	}
	return nil
}

func (m *Manager) write(bucket, key string, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // of our own types, which hold nothing that JSON can't
	}
	m.records = append(m.records, journal.Record{Bucket: bucket, Key: key, Value: text})
}
