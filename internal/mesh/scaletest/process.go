package scaletest

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
)

const (
	controlPort = 8620
	innerPort   = 7600
	beatEvery   = 1300 * time.Millisecond
)

// process is one of the daemon's that the run started.
type process struct {
	name    string
	args    []string
	address string // control
	cmd     *exec.Cmd
	spent   time.Duration // by its earlier lives
	stop    context.CancelFunc

	mu    sync.Mutex // guards what follows
	asked time.Time
	took  chan time.Duration // how long after asked it logged a configuration
}

func (r *run) coreIP(i int) string   { return fmt.Sprintf("127.%d.0.%d", r.net, i+1) }
func (r *run) realIP(i int) string   { return fmt.Sprintf("127.%d.1.%d", r.net, i+1) }
func (r *run) hollowIP(i int) string { return fmt.Sprintf("127.%d.%d.%d", r.net, 2+i/250, 1+i%250) }
func control(ip string) string       { return fmt.Sprintf("%s:%d", ip, controlPort) }
func inner(ip string) string         { return fmt.Sprintf("%s:%d", ip, innerPort) }
func zoneName(i int) string          { return fmt.Sprintf("zone-%d", i%zones) }
func regionName(i int) string        { return fmt.Sprintf("region-%d", i%zones*2/zones) }

func (r *run) coreAddresses() (all []string) {
	for i := range cores {
		all = append(all, control(r.coreIP(i)))
	}
	return all
}

// settings are the lines that both roles have.
func (r *run) settings(name, class, serves, ip string, zone int, first bool, memory int) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name=%s\nrole=%s\nmachine_class=%s\nserves=%s\nip=%s", name, class, class, serves, ip)
	line("zone=%s\nregion=%s", zoneName(zone), regionName(zone))
	for z := range zones {
		line("zones.%s=%s", zoneName(z), regionName(z))
	}
	line("addresses.control=%s\nspare_ports=%d,%d\nseed_nodes=%s", control(ip), innerPort, innerPort+15, strings.Join(r.coreAddresses(), ","))
	line("first_start=%v\nlimits.cpu_share=1\nlimits.cores=1\nlimits.memory_mb=%d\nbeat_every=%s", first, memory, beatEvery)
	line("bounds.retry_ratio=0.2\nbounds.retry_window=10s\nbounds.extra_tries=60\nbounds.warmup_excess=1.5\nbounds.warmup_margin=5\nbounds.grace=6s")
	return b.String()
}

func (r *run) start(p *process, text string) error {
	path := filepath.Join(r.dir, p.name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return oops.Wrap(err)
	}
	logged, err := os.OpenFile(filepath.Join(r.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return oops.Wrap(err)
	}
	p.cmd = exec.Command(r.Program, p.args...)
	p.cmd.Env = append(os.Environ(), "MICALINE_CONFIG="+path, "GOMAXPROCS=2")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	lines, err := p.cmd.StderrPipe()
	if err != nil {
		return oops.Wrap(err)
	}
	if err := p.cmd.Start(); err != nil {
		return oops.Wrapf(err, "starting %s", p.name)
	}
	go func() {
		defer logged.Close()
		for s := bufio.NewScanner(lines); s.Scan(); {
			fmt.Fprintln(logged, s.Text())
			if strings.Contains(s.Text(), "msg=configuration") || strings.Contains(s.Text(), "message=configuration") {
				p.has()
			}
		}
	}()
	return nil
}

func (r *run) startCore(i int, first bool) (*process, error) {
	ip := r.coreIP(i)
	p := &process{name: fmt.Sprintf("core-%d", i), args: []string{"core"}, address: control(ip), took: make(chan time.Duration, 1)}
	text := r.settings(p.name, "core", "control_plane", ip, 2*i, first, coreMemory) +
		"data_folder=" + filepath.Join(r.dir, p.name+".data") + "\n"
	return p, r.start(p, text)
}

// startAgent starts a real agent, and a stand-in of its backend that does nothing but to beat.
func (r *run) startAgent(i int) (*process, error) {
	ip := r.realIP(i)
	p := &process{name: fmt.Sprintf("agent-%d", i), args: []string{"agent"}, address: control(ip), took: make(chan time.Duration, 1)}
	text := r.settings(p.name, "sidecar", "sidecar", ip, i, false, agentMemory) + fmt.Sprintf(
		"addresses.inbound=%s:8624\naddresses.outbound=%s:8629\naddresses.ready=%s:8625\napp_address=%s:8628\nservice=%s\n",
		ip, ip, ip, ip, serviceName(i%r.Services))
	if err := r.start(p, text); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() {
		c := newCaller([]string{p.address})
		for n := 1; ctx.Err() == nil; n++ {
			body := fmt.Sprintf(`{"service":"%s","address":"%s:8628","zone":"%s","version":"v1","capacity":%d,"state":"ready",`+
				`"warmup_left":"0ms","call_count":%d}`, serviceName(i%r.Services), ip, zoneName(i), agentWidth, n)
			c.call(ctx, http.MethodPut, "http://"+p.address+"/api/servers/i-real"+strconv.Itoa(i), []byte(body))
			pause(ctx, beatEvery)
		}
	}()
	return p, nil
}

// expect begins to wait for the configuration that a change brings.
func (p *process) expect(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = since
	select {
	case <-p.took:
	default:
	}
}

func (p *process) has() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.took <- time.Since(p.asked):
	default:
	}
}

// had returns how long the configuration took.
func (p *process) had(most time.Duration) (time.Duration, bool) {
	select {
	case d := <-p.took:
		return d, true
	case <-time.After(most):
		return 0, false
	}
}

// busy is the processor time that it has had, over all of its lives.
func (p *process) busy() time.Duration {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil {
		return p.spent
	}
	total := p.spent
	for _, t := range tasks {
		text, err := os.ReadFile(t)
		if err != nil {
			continue
		}
		first, _, _ := strings.Cut(string(text), " ")
		if ns, err := strconv.ParseInt(first, 10, 64); err == nil {
			total += time.Duration(ns)
		}
	}
	return total
}

// peak is the most memory that its present life has had, in KB.
func (p *process) peak() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb
		}
	}
	return 0
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// kill ends it at once.
func (p *process) kill() {
	p.spent = p.busy()
	p.signal(syscall.SIGKILL)
	p.cmd.Wait()
}

// end has it end, by its id, and waits for that.
func (p *process) end() {
	if p.cmd == nil || p.cmd.Process == nil || p.cmd.ProcessState != nil {
		return
	}
	if p.stop != nil {
		p.stop()
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	done := make(chan struct{})
	go func() { p.cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(8 * time.Second):
		p.signal(syscall.SIGKILL)
		<-done
	}
}
