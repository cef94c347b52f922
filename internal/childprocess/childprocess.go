// Package childprocess runs child processes: programs of ours that a ground starts on this
// machine.
//
// A Process is one life of a program, with its output in a file of its own. It may be told to end,
// killed, stopped and continued, each by its own id. What it promises: no process outlives the one
// that started it, whatever ends that one, and who waits for the end of a process that has ended
// already does not wait.
package childprocess

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
)

// Process is a child.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts a command, whose folder and variables are set, with its output added to a file.
func Start(cmd *exec.Cmd, output string) (*Process, error) {
	out, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close() // the process has its own
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives its test
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", cmd.Path, err)
	}
	p := &Process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal and says whether the process could be told.
func (p *Process) Signal(s syscall.Signal) bool { return p.cmd.Process.Signal(s) == nil }

// Terminate tells it to end in order.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Kill ends it without notice.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL) }

// Freeze stops it. It says false if it can neither be stopped nor has ended.
func (p *Process) Freeze() bool { return p.Signal(syscall.SIGSTOP) || p.Over() }

// Thaw has it go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Ended is closed once it has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Over says whether it has ended.
func (p *Process) Over() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Pid is its id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }
