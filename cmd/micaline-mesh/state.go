package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/controlplane"
	"github.com/integrii/flaggy"
)

const mostBackup = 64 << 20 // bytes, as much as is taken from a core machine

// stateVerbs declares the verbs about the state that core machines keep on disk.
func (c *command) stateVerbs(top *flaggy.Subcommand, add func(*flaggy.Subcommand, string, string, func() error) *flaggy.Subcommand) {
	for _, v := range []struct {
		name, what, about string
		run               func() error
		needed            bool
	}{
		{"backup", "copy the state of the core machines to a file", "a new file", c.backup, true},
		{"verify", "check a backup, or the folder of a stopped core machine", "a backup", c.verify, false},
		{"restore", "found a new mesh from a backup", "a backup", c.restore, true},
	} {
		sub := add(top, v.name, v.what, v.run)
		sub.AddPositionalValue(&c.file, "FILE", 1, v.needed, v.about)
		sub.String(&c.data, "d", "data", "data folder of a core machine that is stopped")
		if v.name == "restore" {
			sub.Bool(&c.newMesh, "n", "new-mesh", "found a new mesh; what was acknowledged after the backup is given up")
		}
	}
}

// stand is what a backup or a folder holds.
type stand struct {
	From    string   `json:"from"`
	By      string   `json:"by"`
	Format  uint32   `json:"format"`
	Index   uint64   `json:"index"`
	Agreed  *uint64  `json:"agreed"` // up to here for certain; null: unknown
	Members []string `json:"members"`
	Items   int      `json:"items"`
	Holds   string   `json:"holds"`
	Zones   []string `json:"evacuated"`
}

// examine replays a backup.
func examine(from string, b *consensus.Backup) (*stand, consensus.Table, error) {
	table, config, err := controlplane.Replay(b)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", from, err)
	}
	var list struct{ Items []json.RawMessage }
	if err := json.Unmarshal(config.ItemsJSON(), &list); err != nil {
		return nil, nil, fmt.Errorf("%s: items: %w", from, err)
	}
	s := &stand{From: from, By: b.By, Format: b.Format, Index: b.Index(), Members: []string{}, Items: len(list.Items),
		Holds: config.Summary(), Zones: config.EvacuatedZones()}
	if at := b.Snapshot; at != nil {
		s.Agreed = &at.Index
	}
	for _, v := range b.Members().Voters {
		s.Members = append(s.Members, v.Address)
	}
	return s, table, nil
}

func (s *stand) String() string {
	agreed := ""
	switch {
	case s.Agreed == nil:
		agreed = ", whether agreed on or not"
	case *s.Agreed < s.Index:
		agreed = fmt.Sprintf(", what is after %d whether agreed on or not", *s.Agreed)
	}
	return fmt.Sprintf("%s: whole; format %d, of %s, index %d%s; members %v; %d items: %s", s.From, s.Format, orDash(s.By),
		s.Index, agreed, s.Members, s.Items, s.Holds)
}

// backup copies what a running mesh holds, or a stopped node's folder.
func (c *command) backup() error {
	if (c.data == "") == (c.cores == "") {
		return misused("--data or --core: name a stopped node's folder, or a running core machine")
	}
	if _, err := os.Lstat(c.file); !os.IsNotExist(err) {
		return misused("FILE: %s is there already; name a new file", c.file)
	}
	var b *consensus.Backup
	var text []byte
	if c.data != "" {
		var err error
		if b, err = consensus.BackupFromDir(c.data); err != nil {
			return fmt.Errorf("--data: %w", err)
		}
		if text, err = b.Encode(); err != nil {
			return err
		}
	} else {
		m, ctx, cancel, err := c.mesh()
		if err != nil {
			return err
		}
		defer cancel()
		if text, err = m.Backup(ctx); err != nil {
			return err
		}
	}
	// Read again as it will be one day: a backup that can't be read is found out now.
	b, err := consensus.DecodeBackup(text)
	if err != nil {
		return fmt.Errorf("what came is no good: %w", err)
	}
	s, _, err := examine(c.file, b)
	if err != nil {
		return err
	}
	if err := writeSynced(c.file, text); err != nil {
		return &usage{fmt.Errorf("FILE: %w", err)}
	}
	return c.say(s, "%s", s)
}

// writeSynced writes a file that is there whole or not at all, also after a loss of power.
func writeSynced(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// readBackup reads the file that was named.
func (c *command) readBackup() (*consensus.Backup, error) {
	f, err := os.Open(c.file)
	if err != nil {
		return nil, &usage{fmt.Errorf("FILE: %w", err)}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostBackup+1))
	if err != nil {
		return nil, &usage{fmt.Errorf("FILE: %w", err)}
	}
	if len(text) > mostBackup {
		return nil, fmt.Errorf("%s: more than %d bytes", c.file, mostBackup)
	}
	b, err := consensus.DecodeBackup(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.file, err)
	}
	return b, nil
}

func (c *command) verify() (err error) {
	if (c.data == "") == (c.file == "") {
		return misused("FILE or --data: name a backup, or a stopped node's folder")
	}
	from, b := c.file, (*consensus.Backup)(nil)
	if c.data != "" {
		from = c.data
		if b, err = consensus.BackupFromDir(c.data); err != nil {
			return fmt.Errorf("--data: %w", err)
		}
	} else if b, err = c.readBackup(); err != nil {
		return err
	}
	s, _, err := examine(from, b)
	if err != nil {
		return err
	}
	return c.say(s, "%s", s)
}

// restore founds a new mesh. Into a mesh that stands nothing is restored: its members would take the
// node for one that has kept its promises, and what was acknowledged after the backup could be
// undone.
func (c *command) restore() error {
	if c.data == "" {
		return misused("--data: name the empty data folder of the core machine")
	}
	b, err := c.readBackup()
	if err != nil {
		return err
	}
	s, table, err := examine(c.file, b)
	if err != nil {
		return err
	}
	if !c.newMesh {
		return fmt.Errorf("--new-mesh is not given: a mesh that stands takes no backup, which would undo what it has acknowledged "+
			"after index %d; start the machine with an empty folder, and it recovers from the others. If a majority of the core "+
			"machines' disks is lost for good, stop all of them and found a new mesh by --new-mesh", s.Index)
	}
	set, err := bootstrap.Load(c.settings)
	if err != nil {
		return &usage{fmt.Errorf("--settings: the machine's address and the number of seeds are needed: %w", err)}
	}
	if set.Control == "" || len(set.Seeds) == 0 {
		return misused("--settings: %s: addresses.control and seed_nodes have to be set", c.settings)
	}
	mesh, err := b.NewMesh(c.data, set.Control, len(set.Seeds), table)
	if err != nil {
		return fmt.Errorf("--data: %w", err)
	}
	return c.say(map[string]any{"restored": s, "data": c.data, "mesh": fmt.Sprintf("%016x", mesh), "member": set.Control},
		"%s\nnew mesh %016x in %s, its first member %s. What was acknowledged after index %d is given up.\n"+
			"Start this machine first. Then the other core machines, each with an empty data folder and first_start=false: they join.\n"+
			"A machine that starts with its old folder stays in the mesh of before, and the two do not hear each other.",
		s, mesh, c.data, set.Control, s.Index)
}
