// Command standin holds the stand-ins of the review's scripts: a platform that starts a small mesh
// of the deploy file's processes on loopback, backends, clients and an operator. Each case is a
// verb. Everything that was sent, answered and run goes into a record, and the verdict comes from
// that record alone.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are alike on all machines, as DEPLOY.md says.
const (
	controlPort  = 8620
	inboundPort  = 8624
	readyPort    = 8625
	appPort      = 8628
	outboundPort = 8629
	firstSpare   = 7600
	lastSpare    = 7615
	guardPort    = 8699
	platformPort = 8267
)

// freeze is how long a core machine stands still: the site's limit for node_freeze.
const freeze = 4 * time.Second

var zones = []string{"hall-a", "hall-b", "hall-c"}

// machine is one machine of the mesh: a process of the project's program, and its address.
type machine struct {
	m          *mesh
	name, ip   string
	zone       string
	service    string // "" on a core machine
	firstStart bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// mesh is a small deployment.
type mesh struct {
	dir     string
	program string
	guard   net.Listener
	net     string
	cores   []*machine
	agents  []*machine
	rec     *recorder
	duties  bool // the figures of the site pcaa-mesh-duties, in place of pcaa-mesh
}

// recorder writes the record.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f}, nil
}

func (r *recorder) now() time.Duration { return time.Since(r.began) }

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newMesh prepares a mesh of three core machines and one agent for each named service and zone.
func newMesh(program, dir string, rec *recorder, services ...string) (*mesh, error) {
	m := &mesh{dir: dir, program: program, rec: rec}
	for range 50 {
		at := fmt.Sprintf("127.%d.%d", 1+rand.N(250), rand.N(250))
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.254:%d", at, guardPort))
		if err == nil {
			m.guard, m.net = l, at
			break
		}
	}
	if m.guard == nil {
		return nil, fmt.Errorf("no free addresses")
	}
	for i, z := range zones {
		m.cores = append(m.cores, &machine{m: m, name: fmt.Sprintf("core-%s-1", z), ip: fmt.Sprintf("%s.%d", m.net, i+1), zone: z, firstStart: true})
	}
	for i, s := range services {
		z := zones[i%len(zones)]
		m.agents = append(m.agents, &machine{m: m, name: fmt.Sprintf("sidecar-%s-%d", z, i/len(zones)+1), ip: fmt.Sprintf("%s.%d", m.net, 11+i), zone: z, service: s, firstStart: true})
	}
	return m, nil
}

func (c *machine) at(port int) string { return fmt.Sprintf("%s:%d", c.ip, port) }

func (c *machine) folder() string { return filepath.Join(c.m.dir, c.name) }

// settings is the text of the settings file, with the figures of the site pcaa-mesh.
func (c *machine) settings() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, serves := "sidecar", "sidecar"
	if c.service == "" {
		class, serves = "core", "control_plane"
	}
	line("node_name=%s", c.name)
	line("role=%s", class)
	line("machine_class=%s", class)
	line("serves=%s", serves)
	line("ip=%s", c.ip)
	line("zone=%s", c.zone)
	line("region=prairie-west")
	for _, z := range zones {
		line("zones.%s=prairie-west", z)
	}
	line("addresses.control=%s", c.at(controlPort))
	line("spare_ports=%d,%d", firstSpare, lastSpare)
	var seeds []string
	for _, core := range c.m.cores {
		seeds = append(seeds, core.at(controlPort))
	}
	line("seed_nodes=%s", strings.Join(seeds, ","))
	line("first_start=%v", c.firstStart)
	line("counted=%v", c.service == "")
	line("limits.cores=1")
	line("limits.open_files=4096")
	line("limits.link_mbps=1000.0")
	line("beat_every=1500ms")
	line("tolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0")
	line("bounds.seed_delay=3s\nbounds.reuse_after=2s\nbounds.grace=6s\nbounds.loss_slack=200ms\nbounds.fallback=250ms")
	line("bounds.retry_ratio=0.2\nbounds.retry_window=10s\nbounds.warmup_excess=1.5\nbounds.evacuate=5000ms\nbounds.recovery=15s\nsetup_mode=parts")
	if c.m.duties {
		line("contracts=base,drain,config,cost,retry,recover,health,pool,tenants,leader,places")
		line("bounds.in_touch=5000ms\nbounds.ack_within=6000ms\nbounds.catch_up=6s\nbounds.drain=3000ms\nbounds.apply_within=3000ms\nbounds.stretch=10000ms")
		line("bounds.revoked_fail=false\nbounds.revoke=5000ms\nbounds.extra_tries=158\nbounds.warmup_margin=8")
		line("bounds.fenced=true\nbounds.lease=3000ms\nbounds.thaw=300ms\nbounds.report_window=5s\nbounds.usage_error=0.05\nbounds.usage_delay=10s")
		line("cloud_api.address=%s.200:%d\ncloud_api.rate_per_s=50.0\ncloud_api.duties=usage_report\ncloud_api.duty_per_s=50.0", c.m.net, platformPort)
	} else {
		line("contracts=base,drain,config,cost,retry,recover,places")
		line("bounds.in_touch=3000ms\nbounds.ack_within=5000ms\nbounds.catch_up=4s\nbounds.drain=2500ms\nbounds.apply_within=2500ms\nbounds.stretch=8000ms")
		line("bounds.extra_tries=60\nbounds.warmup_margin=5")
	}
	if c.service == "" {
		line("limits.memory_mb=280\nlimits.disk_mb=256")
		line("data_folder=%s", filepath.Join(c.folder(), "disk"))
	} else {
		line("limits.memory_mb=244\nlimits.disk_mb=0")
		line("addresses.inbound=%s", c.at(inboundPort))
		line("addresses.outbound=%s", c.at(outboundPort))
		line("addresses.ready=%s", c.at(readyPort))
		line("app_address=%s", c.at(appPort))
		line("service=%s", c.service)
	}
	return b.String()
}

// start starts the machine's process with the command of the deploy file.
func (c *machine) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := os.MkdirAll(filepath.Join(c.folder(), "disk"), 0o755); err != nil {
		return err
	}
	file := filepath.Join(c.folder(), "local.conf")
	if err := os.WriteFile(file, []byte(c.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	role := "agent"
	if c.service == "" {
		role = "core"
	}
	cmd := exec.Command(c.m.program, role)
	cmd.Env = append(os.Environ(), "MICALINE_CONFIG="+file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.firstStart = false
	done := make(chan struct{})
	c.cmd, c.done = cmd, done
	go func() { cmd.Wait(); close(done) }()
	c.m.rec.note("platform: start %s", c.name)
	return nil
}

func (c *machine) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m.rec.note("platform: %v to %s", s, c.name)
	c.cmd.Process.Signal(s)
}

// kill ends the process without notice and returns when it is gone.
func (c *machine) kill() {
	c.signal(syscall.SIGKILL)
	<-c.done
}

func (c *machine) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return false
	}
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

func (m *mesh) all() []*machine { return append(append([]*machine{}, m.cores...), m.agents...) }

func (m *mesh) start() error {
	for _, c := range m.all() {
		if err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends every process that was started.
func (m *mesh) close() {
	for _, c := range m.all() {
		c.mu.Lock()
		if c.cmd != nil {
			c.cmd.Process.Kill()
			<-c.done
		}
		c.mu.Unlock()
	}
	m.guard.Close()
}

// ready says whether an agent answers readiness with 200.
func (c *machine) ready() bool {
	status, _ := call(context.Background(), plain, 500*time.Millisecond, http.MethodGet, "http://"+c.at(readyPort)+"/api/readiness", nil)
	return status == 200
}

// await waits until something holds.
func await(within time.Duration, holds func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

var plain = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// call makes one call with a JSON body; the status is 0 if there was no whole answer.
func call(ctx context.Context, c *http.Client, within time.Duration, method, url string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// order sends an operator's order, unchanged, to one core machine after the other until there is a
// clear answer, as PROTOCOL.md says.
func (m *mesh) order(first int, within time.Duration, method, path, body string) (status int, answer string) {
	pause := 50 * time.Millisecond
	var payload []byte
	if body != "" {
		payload = []byte(body)
	}
	for i, until := first, time.Now().Add(within); time.Now().Before(until); i++ {
		core := m.cores[i%len(m.cores)]
		status, answer = call(context.Background(), plain, time.Second, method, "http://"+core.at(controlPort)+path, payload)
		m.rec.note("operator: %s %s to %s: %d", method, path, core.name, status)
		if status != 0 && status < 500 && status != 408 && status != 429 {
			return status, answer
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return status, answer
}
