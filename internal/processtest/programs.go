// Package processtest plays days with agents that are processes of the machine: the built program, started, killed, stopped and
// continued, its links led through relays on which things go wrong. Days are scenarios, the same that package fleet plays
// in virtual time; stand-ins and clients are in the caller's process, and what they saw is judged there, by package rules and
// by the properties in this package. Nothing that an agent says of itself has a part in a verdict.
package processtest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"example.org/micaline/internal/childprocess"
	"example.org/micaline/internal/fleet"
)

// Programs starts agents.
type Programs struct {
	// Build is the folder that holds the program; Older, by agent, folders of other builds.
	Build string
	Older map[string]string
	// Dir is where processes have their folders, with their logs.
	Dir string
	// Operators is the text of each agent's operators' file.
	Operators string
	// More is what an agent's file has beside; nil: nothing.
	More func(agent string) (string, error)

	mu    sync.Mutex
	lives map[string]int // by agent
}

// Dir of an agent, in which its control interface has the socket ctl.sock.
func (p *Programs) dir(name string) string { return filepath.Join(p.Dir, name) }

// Spawn starts an agent.
func (p *Programs) Spawn(name string, config []byte) (fleet.Process, error) {
	dir := p.dir(name)
	if err := os.MkdirAll(filepath.Join(dir, "deploy"), 0o700); err != nil {
		return nil, err
	}
	pr := &process{config: filepath.Join(dir, "config.json")}
	operators := strings.ReplaceAll(p.Operators, "$DIR", dir)
	if p.More != nil {
		more, err := p.More(name)
		if err != nil {
			return nil, err
		}
		operators += more
	}
	for path, text := range map[string][]byte{pr.config: config, filepath.Join(dir, "deploy", "operators.toml"): []byte(operators)} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, err
		}
	}
	os.Remove(filepath.Join(dir, "ctl.sock")) // of a process that was killed
	p.mu.Lock()
	if p.lives == nil {
		p.lives = map[string]int{}
	}
	p.lives[name]++
	life := p.lives[name]
	p.mu.Unlock()
	build := p.Build
	if other := p.Older[name]; other != "" {
		build = other
	}
	cmd := exec.Command(filepath.Join(build, "micaline"))
	cmd.Dir, cmd.Env = dir, append(os.Environ(), "GW_CONFIG="+pr.config)
	var err error
	if pr.Process, err = childprocess.Start(cmd, filepath.Join(dir, fmt.Sprintf("log.%d", life))); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return pr, nil
}

// process is an agent of its own.
type process struct {
	*childprocess.Process
	config string
}

// Reload writes the configuration anew and tells the process.
func (p *process) Reload(_ context.Context, config []byte) error {
	next := p.config + ".next" // danger: a file that is half written would be read
	if err := os.WriteFile(next, config, 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, p.config); err != nil {
		return err
	}
	if !p.Signal(syscall.SIGHUP) && !p.Over() {
		return errors.New("a process can't be told to reload")
	}
	return nil
}
