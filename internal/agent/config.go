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

// minSockets is what an agent needs to hold a few clients and backends beside its own descriptors.
const minSockets = 2*reservedSockets + 32

// Config is what the platform tells an agent at its start.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	Seed         uint64
	Cores        float64
	MemoryMB     int
	Sockets      int
	Settings     settings.Settings
	Peers        Peers              // used where the settings allow it
	Admin        string             // where operators call; empty: nowhere
	SharedSocket bool               // other processes accept from the same socket
	Handover     handover.Transport // the way to other processes of the agent; nil: there is none
	// Started is told of the agent before it serves, for who operates it from the same process; nil: nobody does.
	OnStart func(*Agent)

	Levels level.Config // of reduced service, from the operators' file; none where it is empty

	Sites site.Config // whether they are watched, and withdrawn when they are lost

	// Decide makes what decides for the agent; nil is policy.New.
	NewDecider func(policy.Settings, uint64) (Decider, error)

	knownList memberList
}

// Peers are the addresses of the other agents.
type Peers struct {
	Listen    netip.AddrPort // where their messages come
	Broadcast netip.AddrPort // whatever is sent there comes to all of them
	Sources   []netip.AddrPort
}

// Decider decides for an agent: a policy.Balancer, or what that is held against.
type Decider = peers.Decider

func (c *Config) buildDecider() (Decider, error) {
	if c.NewDecider != nil {
		return c.NewDecider(c.Settings.Module, c.Seed)
	}
	return peers.NewDecider(c.Settings.Module, c.Seed)
}

// LoadConfig reads and checks the configuration file. Its errors name the field that cannot be used.
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

// ParseConfig reads and checks the text of a configuration.
func ParseConfig(text []byte) (*Config, error) {
	var f struct {
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
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	cfg := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Admin: f.Admin,
		Cores: f.Limits.Cores, MemoryMB: int(f.Limits.MemoryMB), Sockets: f.Limits.Sockets,
	}
	var err error
	if _, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if f.Admin != "" {
		if _, err = netip.ParseAddrPort(f.Admin); err != nil {
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	if cfg.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	switch {
	case !(cfg.Cores > 0 && cfg.Cores <= 1024):
		return nil, fmt.Errorf("limits.cores cannot be %v", cfg.Cores)
	case cfg.MemoryMB < 16:
		return nil, fmt.Errorf("limits.memory_mb cannot be %v", f.Limits.MemoryMB)
	case cfg.Sockets < minSockets:
		return nil, fmt.Errorf("limits.sockets cannot be %d: at least %d are needed", cfg.Sockets, minSockets)
	}
	if len(f.Known) > 0 {
		if cfg.knownList, err = parseList(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if cfg.Settings, err = settings.Parse(f.Settings); err != nil {
		return nil, err
	}
	if cfg.Settings.Module.Peers && f.PeerListen != "" {
		if cfg.Peers, err = parsePeers(f.PeerListen, f.PeersAll, f.Peers); err != nil {
			return nil, err
		}
	}
	return cfg, checkSettings(&cfg.Settings)
}

func parsePeers(listen, all string, from []string) (p Peers, err error) {
	if p.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return p, fmt.Errorf("peer_listen: %w", err)
	}
	if p.Broadcast, err = netip.ParseAddrPort(all); err != nil {
		return p, fmt.Errorf("peers_all: %w", err)
	}
	for i, text := range from {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return p, fmt.Errorf("peers[%d]: %w", i, err)
		}
		p.Sources = append(p.Sources, addr)
	}
	return p, nil
}

// checkSettings checks what the agent needs beside the module, whose own check is policy.New.
func checkSettings(s *settings.Settings) error {
	if s.ConnectTimeout <= 0 {
		return errors.New("settings: limits.connectTimeout must be above 0")
	}
	for what, names := range map[string][]string{"categories": s.Classes, "accounts": s.Tenants} {
		for i, name := range names {
			if name == "" || slices.Contains(names[:i], name) {
				return fmt.Errorf("settings: %s[%d].name %q is empty or taken", what, i, name)
			}
		}
	}
	if _, err := policy.New(s.Module, 0); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}
