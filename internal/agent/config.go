package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"example.org/micaline/internal/handover"
	"example.org/micaline/internal/level"
	"example.org/micaline/internal/peers"
	"example.org/micaline/internal/settings"
	"example.org/micaline/internal/site"
	"example.org/micaline/policy"
)

// minSockets is the number of sockets that an agent needs for its own descriptors and connections
// to a few clients and backends.
const minSockets = 2*reservedSockets + 32

// Config is the configuration of an agent at its start. ParseConfig reads it from the platform's
// file. The fields that the file does not contain are set by the program that runs the agent.
type Config struct {
	Name         string // stays the same after a restart
	Listen       string // address for clients
	Discovery    string // address of the discovery service
	Seed         uint64 // for the random decisions
	Cores        float64
	MemoryMB     int
	Sockets      int // limit of file descriptors
	Settings     settings.Settings
	Peers        Peers              // zero if peer messages are not allowed or not configured
	Admin        string             // address of the operators' interface; empty: none
	SharedSocket bool               // whether other processes accept from the same socket
	Handover     handover.Transport // connects to other processes of the agent; nil: none
	// OnStart, if not nil, is called with the agent before it serves, so that code in the same
	// process can operate it.
	OnStart func(*Agent)

	Levels level.Config // levels of reduced service, from the operators' file; may be empty

	Sites site.Config // whether sites are monitored, and withdrawn when they are lost

	// NewDecider creates the decision module of the agent. If it is nil, peers.NewDecider does.
	NewDecider func(policy.Settings, uint64) (Decider, error)

	knownList memberList // the list of backends that the file contains, if any
}

// Peers are the addresses for messages between agents.
type Peers struct {
	Listen    netip.AddrPort   // receives the messages of the other agents
	Broadcast netip.AddrPort   // messages sent there reach all other agents
	Sources   []netip.AddrPort // messages from other addresses are ignored
}

// Decider is a decision module: a policy.Balancer, or another algorithm that it is compared with.
type Decider = peers.Decider

// buildDecider creates the decision module that handles requests from the start.
func (c *Config) buildDecider() (Decider, error) {
	if c.NewDecider != nil {
		return c.NewDecider(c.Settings.Module, c.Seed)
	}
	return peers.NewDecider(c.Settings.Module, c.Seed)
}

// LoadConfig reads and checks the configuration file. Its errors name the field that is invalid.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, nil
}

// ParseConfig parses and checks the text of a configuration. Its errors name the field that is
// invalid.
func ParseConfig(text []byte) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed, Admin string

		Limits struct {
			Cores    float64
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		PeerListen string   `json:"peer_listen"`
		Peers      []string `json:"peers"`
		PeersAll   string   `json:"peers_all"`
		Known      json.RawMessage
		Settings   json.RawMessage
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	cfg := &Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Admin: file.Admin,
		Cores: file.Limits.Cores, MemoryMB: int(file.Limits.MemoryMB), Sockets: file.Limits.Sockets,
	}
	var err error
	if _, err = netip.ParseAddrPort(file.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, err = netip.ParseAddrPort(file.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if file.Admin != "" {
		if _, err = netip.ParseAddrPort(file.Admin); err != nil {
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	switch {
	case !(cfg.Cores > 0 && cfg.Cores <= 1024):
		return nil, fmt.Errorf("limits.cores cannot be %v", cfg.Cores)
	case cfg.MemoryMB < 16:
		return nil, fmt.Errorf("limits.memory_mb cannot be %v", file.Limits.MemoryMB)
	case cfg.Sockets < minSockets:
		return nil, fmt.Errorf("limits.sockets cannot be %d: at least %d are needed", cfg.Sockets, minSockets)
	}
	if len(file.Known) > 0 {
		if cfg.knownList, err = parseList(file.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if cfg.Settings, err = settings.Parse(file.Settings); err != nil {
		return nil, err
	}
	if cfg.Settings.Module.Peers && file.PeerListen != "" {
		if cfg.Peers, err = parsePeers(file.PeerListen, file.PeersAll, file.Peers); err != nil {
			return nil, err
		}
	}
	return cfg, checkSettings(&cfg.Settings)
}

func parsePeers(listen, broadcast string, sources []string) (p Peers, err error) {
	if p.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return p, fmt.Errorf("peer_listen: %w", err)
	}
	if p.Broadcast, err = netip.ParseAddrPort(broadcast); err != nil {
		return p, fmt.Errorf("peers_all: %w", err)
	}
	for i, text := range sources {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return p, fmt.Errorf("peers[%d]: %w", i, err)
		}
		p.Sources = append(p.Sources, addr)
	}
	return p, nil
}

// checkSettings checks the settings that the agent itself uses, and those of the decision module by
// policy.New.
func checkSettings(s *settings.Settings) error {
	if s.ConnectTimeout <= 0 {
		return errors.New("settings: limits.connectTimeout must be above 0")
	}
	for list, names := range map[string][]string{"categories": s.Classes, "accounts": s.Tenants} {
		for i, name := range names {
			if name == "" || slices.Contains(names[:i], name) {
				return fmt.Errorf("settings: %s[%d].name %q is empty or not unique", list, i, name)
			}
		}
	}
	if _, err := policy.New(s.Module, 0); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}
