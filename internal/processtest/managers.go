package processtest

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/childprocess"
	"example.org/micaline/internal/standin/authority"
	"example.org/micaline/internal/standin/network"
)

// Managers are processes of the managing program that form a group, with relays between them, and instances that they manage,
// each behind a relay for each manager.
type Managers struct {
	Build string            // the folder that holds the program
	Older map[string]string // by manager, folders of other builds
	Dir   string
	Net   *network.Network // on loopback, splicing
	Names []string
	Token string // path of the file with which operators come in

	mu        sync.Mutex
	ca        *authority.Authority
	addrs     map[string]string // of each manager's interface
	instances []fleetEntry
	relays    []*network.Relay
	lives     map[string]int
	procs     map[string]*childprocess.Process
	hash      string

	members, memberHash string // with which they come to one another
	holds, holdHash     string // and agents to them
	ways                map[[2]string]string
}

type fleetEntry struct{ name, addr string }

// NewManagers returns so many managers that are not started yet, of instances with these names at these addresses or
// sockets.
func NewManagers(build, dir string, n *network.Network, count int, names, addrs []string) (*Managers, error) {
	m := &Managers{Build: build, Dir: dir, Net: n, addrs: map[string]string{}, lives: map[string]int{}, procs: map[string]*childprocess.Process{}, ways: map[[2]string]string{}}
	var err error
	if m.ca, err = authority.New(dir); err != nil {
		return nil, err
	}
	if m.Token, m.hash, err = m.token("token"); err != nil {
		return nil, err
	}
	if m.members, m.memberHash, err = m.token("member-token"); err != nil {
		return nil, err
	}
	if m.holds, m.holdHash, err = m.token("hold-token"); err != nil {
		return nil, err
	}
	for i := range count {
		name := fmt.Sprintf("m%d", i+1)
		m.Names = append(m.Names, name)
		if m.addrs[name], err = n.FreeAddr(); err != nil {
			return nil, err
		}
	}
	for i := range names {
		m.instances = append(m.instances, fleetEntry{names[i], addrs[i]})
	}
	return m, m.Write()
}

// token writes a token, and returns its path and hash.
func (m *Managers) token(name string) (path, hash string, err error) {
	text := rand.Text()
	sum := sha256.Sum256([]byte(text))
	path = filepath.Join(m.Dir, name)
	return path, hex.EncodeToString(sum[:]), os.WriteFile(path, []byte(text), 0o600)
}

// via is the address at which a process reaches another, the same for each of its lives.
func (m *Managers) via(from, to string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at := m.ways[[2]string{from, to}]; at != "" {
		return at, nil
	}
	r, err := m.Net.Relay(from, to)
	if err != nil {
		return "", err
	}
	m.relays = append(m.relays, r)
	m.ways[[2]string{from, to}] = r.Addr()
	return r.Addr(), nil
}

// Duties is the part of an agent's operators' file by which it holds duties at these managers, each behind a relay of the agent's.
func (m *Managers) Duties(agent string) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "[duties.access]\nca = %q\ntoken_file = %q\n", m.ca.CA, m.holds)
	for _, name := range m.Names {
		at, err := m.via(agent, m.addrs[name])
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "[[duties.member]]\nname = %q\naddr = %q\n", name, at)
	}
	return b.String(), nil
}

// Write writes all managers' files, by their builds.
func (m *Managers) Write() error {
	for i := range m.Names {
		if err := m.write(i); err != nil {
			return err
		}
	}
	return nil
}

// write writes a manager's files. The first founds the group.
func (m *Managers) write(i int) error {
	name := m.Names[i]
	dir := filepath.Join(m.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	cert, key, err := m.ca.Issue(name)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "journal = %q\nfleet = %q\n[interface]\nlisten = %q\ncertificate = %q\nkey = %q\n", filepath.Join(dir, "journal"), filepath.Join(dir, "fleet.toml"), m.addrs[name], cert, key)
	roles := map[api.Role]string{api.Change: m.hash, api.Member: m.memberHash, api.Hold: m.holdHash}
	if m.Older[name] != "" {
		delete(roles, api.Hold) // a role that it does not know ends its start
	}
	for role, hash := range roles {
		fmt.Fprintf(&b, "[[interface.token]]\nsha256 = %q\nrole = %q\n", hash, role)
	}
	fmt.Fprintf(&b, "[group]\nname = %q\nfound = %v\n[group.access]\nca = %q\ntoken_file = %q\n", name, i == 0, m.ca.CA, m.members)
	for _, other := range m.Names {
		if other == name {
			continue
		}
		at, err := m.via(name, m.addrs[other])
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "[[group.member]]\nname = %q\naddr = %q\n", other, at)
	}
	if err := os.WriteFile(filepath.Join(dir, "manage.toml"), []byte(b.String()), 0o600); err != nil {
		return err
	}
	b.Reset()
	fmt.Fprintf(&b, "[access]\nca = %q\ntoken_file = %q\n", m.ca.CA, m.Token)
	for _, in := range m.instances {
		if filepath.IsAbs(in.addr) {
			fmt.Fprintf(&b, "[[instance]]\nname = %q\nunix = %q\n", in.name, in.addr)
			continue
		}
		at, err := m.via(name, in.addr)
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "[[instance]]\nname = %q\naddr = %q\n", in.name, at)
	}
	return os.WriteFile(filepath.Join(dir, "fleet.toml"), []byte(b.String()), 0o600)
}

// Addr is where a manager's interface is, for who goes through no relay.
func (m *Managers) Addr(name string) string { return m.addrs[name] }

// CA is the path of the certificate of who signs the managers'.
func (m *Managers) CA() string { return m.ca.CA }

// Issue writes a certificate for an instance.
func (m *Managers) Issue(name string) (certificate, key string, err error) { return m.ca.Issue(name) }

// Hash is that of the token with which managers come to instances.
func (m *Managers) Hash() string { return m.hash }

// Start starts a manager, with the journal that it has.
func (m *Managers) Start(name string) error {
	m.mu.Lock()
	m.lives[name]++
	life := m.lives[name]
	m.mu.Unlock()
	dir := filepath.Join(m.Dir, name)
	build := m.Build
	if other := m.Older[name]; other != "" {
		build = other
	}
	cmd := exec.Command(filepath.Join(build, "micaline-manage"), "--file", filepath.Join(dir, "manage.toml"))
	cmd.Dir = dir
	p, err := childprocess.Start(cmd, filepath.Join(dir, fmt.Sprintf("log.%d", life)))
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	m.mu.Lock()
	m.procs[name] = p
	m.mu.Unlock()
	return nil
}

// Process is the present one of a manager.
func (m *Managers) Process(name string) *childprocess.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.procs[name]
}

// Kill ends a manager without a word, and returns once it is gone.
func (m *Managers) Kill(name string) {
	p := m.Process(name)
	p.Kill()
	<-p.Ended()
}

// Lose takes a manager's disk away.
func (m *Managers) Lose(name string) error { return os.Remove(filepath.Join(m.Dir, name, "journal")) }

// Disk is the path of a manager's journal.
func (m *Managers) Disk(name string) string { return filepath.Join(m.Dir, name, "journal") }

// Cut cuts what managers send to others, each way that match says, until the function that it returns is called. To is the name of a
// manager or of an instance.
func (m *Managers) Cut(match func(from, to string) bool) (heal func()) {
	return m.Change(match, func(c *network.Conditions) { c.Cut = true })
}

// Change changes the conditions of these links likewise.
func (m *Managers) Change(match func(from, to string) bool, change func(*network.Conditions)) (heal func()) {
	names := map[string]string{}
	for name, addr := range m.addrs {
		names[addr] = name
	}
	for _, in := range m.instances {
		names[in.addr] = in.name
	}
	return m.Net.Apply(network.Rule{
		Match:  func(from, to string) bool { return names[to] != "" && match(from, names[to]) },
		Change: change,
	})
}

// Close ends all.
func (m *Managers) Close() {
	m.mu.Lock()
	procs := m.procs
	m.mu.Unlock()
	for _, p := range procs {
		p.Thaw()
		p.Kill()
		<-p.Ended()
	}
	for _, r := range m.relays {
		r.Close()
	}
}
