package meshtest

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/micaline/internal/childprocess"
)

const (
	readyEvery = 200 * time.Millisecond // clients ask for readiness; two misses in a row keep them away
	readyFor   = 500 * time.Millisecond // that an answer may take
	tailBytes  = 8 << 10                // of a log that is read at once
	mostLog    = 1 << 20                // bytes of new log that a reading takes in
)

// Machine is a process of the mesh, its disk, and what stands beside it.
type Machine struct {
	Name, IP, Zone string
	Service        string      // "" on a core machine
	Backend        *Backend    // nil on a core machine
	Links          *AgentLinks // nil on a core machine, and without Options.AgentLinks

	g     *Cluster
	first bool // the whole system starts
	in    atomic.Bool
	quit  chan struct{} // ends the calls for readiness

	trouble *Trouble // that has not ended; guarded by the cluster's record

	mu      sync.Mutex
	proc    *childprocess.Process
	stopped bool
	read    int64 // bytes of the log that have been looked at
	said    said
}

// said is what a process's log tells.
type said struct {
	role  string
	index uint64
}

func (g *Cluster) machine(name, ip, zone, service string) *Machine {
	m := &Machine{Name: name, IP: ip, Zone: zone, Service: service, g: g, first: true, quit: make(chan struct{})}
	if service != "" {
		go m.ask()
	}
	return m
}

func (m *Machine) core() bool { return m.Service == "" }

func (m *Machine) at(port int) string { return m.IP + ":" + strconv.Itoa(port) }

func (m *Machine) logFile() string { return m.g.path(m.Name, "log") }

// settings is the text of the file that tells the process all.
func (m *Machine) settings() string {
	var b strings.Builder
	set := func(field string, value any) { fmt.Fprintf(&b, "%s=%v\n", field, value) }
	class, serves := "sidecar", "sidecar"
	if m.core() {
		class, serves = "core", "control_plane"
	}
	set("node_name", m.Name)
	set("role", class)
	set("machine_class", class)
	set("serves", serves)
	set("ip", m.IP)
	set("zone", m.Zone)
	set("region", "loopback")
	for _, z := range zones {
		set("zones."+z, "loopback")
	}
	set("addresses.control", m.at(controlPort))
	var seeds []string
	for _, c := range m.g.Cores {
		seeds = append(seeds, c.at(controlPort))
	}
	set("seed_nodes", strings.Join(seeds, ","))
	set("spare_ports", fmt.Sprintf("%d,%d", m.meshPort(), m.meshPort()+lastSpare-firstSpare))
	set("first_start", m.first)
	set("counted", m.core())
	set("limits.memory_mb", 280)
	set("limits.open_files", 4096)
	set("beat_every", beatEvery)
	set("tolerate.machines", m.g.tolerated())
	set("tolerate.zones", 1)
	if m.core() {
		set("data_folder", m.disk())
		set("limits.disk_mb", 256)
	} else {
		set("addresses.inbound", m.at(inboundPort))
		set("addresses.outbound", m.at(outboundPort))
		set("addresses.ready", m.at(readyPort))
		set("app_address", m.reached(appPort))
		set("addresses.gate", m.reached(m.meshPort()))
		set("service", m.Service)
	}
	t := &m.g.record.story.Terms
	for _, bound := range []struct {
		name  string
		value time.Duration
	}{{"in_touch", t.InTouch}, {"drain", t.Drain}, {"evacuate", t.Evacuate}, {"apply_within", t.ApplyWithin}, {"loss_slack", t.LossSlack},
		{"grace", grace}, {"ack_within", 5 * time.Second}, {"catch_up", 2 * time.Second}, {"fallback", 250 * time.Millisecond},
		{"retry_window", 10 * time.Second}, {"seed_delay", 3 * time.Second}, {"reuse_after", time.Second},
		{"stretch", 8 * time.Second}, {"recovery", 15 * time.Second}} {
		set("bounds."+bound.name, strconv.FormatInt(bound.value.Milliseconds(), 10)+"ms")
	}
	if p := m.g.Platform; p != nil {
		set("cloud_api.address", p.address)
		set("cloud_api.duties", "usage_report")
		set("cloud_api.duty_per_s", 50)
		set("bounds.lease", t.Lease)
		set("bounds.report_window", t.Window)
		set("bounds.usage_delay", t.UsageDelay)
	}
	set("bounds.retry_ratio", 0.2)
	set("bounds.extra_tries", 60)
	set("bounds.warmup_excess", 1.5)
	set("bounds.warmup_margin", 5)
	return b.String()
}

func (m *Machine) disk() string { return m.g.path(m.Name, "disk") }

// Start starts the process, with the settings of this moment.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proc != nil && !m.proc.Over() {
		return fmt.Errorf("%s runs already", m.Name)
	}
	if err := os.MkdirAll(m.g.path(m.Name), 0o700); err != nil {
		return err
	}
	if m.core() {
		if err := os.MkdirAll(m.disk(), 0o700); err != nil {
			return err
		}
	}
	file := m.g.path(m.Name, "local.conf")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	role := "agent"
	if m.core() {
		role = "core"
	}
	cmd := exec.Command(m.g.opt.Program, role)
	m.look() // what the life before has said
	cmd.Dir, cmd.Env = m.g.dir, append(os.Environ(), "MICALINE_CONFIG="+file)
	p, err := childprocess.Start(cmd, m.logFile())
	if err != nil {
		return err
	}
	m.proc, m.stopped, m.said = p, false, said{}
	m.mended()
	return nil
}

// Running says whether the process is there and goes on.
func (m *Machine) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running()
}

func (m *Machine) running() bool { return m.proc != nil && !m.proc.Over() && !m.stopped }

// Kill ends the process without notice, and returns when it is gone.
func (m *Machine) Kill() {
	m.hit(false, func(p *childprocess.Process) { p.Kill(); <-p.Ended() })
}

// Stop has the process stand still.
func (m *Machine) Stop() {
	m.hit(false, func(p *childprocess.Process) { p.Freeze(); m.stopped = true })
}

// Continue has it go on.
func (m *Machine) Continue() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = false
	m.proc.Thaw()
	m.mended()
}

// Terminate tells the process to end, and returns when it has: in time, or killed as a platform
// would.
func (m *Machine) Terminate() (inTime bool) {
	inTime = true
	m.hit(true, func(p *childprocess.Process) {
		p.Terminate()
		late := time.NewTimer(grace)
		defer late.Stop()
		select {
		case <-p.Ended():
		case <-late.C:
			inTime = false
			p.Kill()
			<-p.Ended()
		}
	})
	return inTime
}

// Reload tells the process that its settings have changed.
func (m *Machine) Reload() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proc.Signal(syscall.SIGHUP)
}

// Wipe takes the disk of a process that is down.
func (m *Machine) Wipe() error { return os.RemoveAll(m.disk()) }

// hit notes a trouble and makes it.
func (m *Machine) hit(planned bool, how func(*childprocess.Process)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.g.record.note(func(now time.Duration, s *Story) {
		if m.trouble == nil {
			m.trouble = &Trouble{Machine: m.Name, Planned: planned, Span: Span{From: now}}
			s.Troubles = append(s.Troubles, m.trouble)
		}
		m.g.unsettled(m, now, s)
	})
	how(m.proc)
}

// mended notes that the trouble is over.
func (m *Machine) mended() {
	m.g.record.note(func(now time.Duration, s *Story) {
		if m.trouble != nil {
			m.trouble.Until, m.trouble = now, nil
			m.g.unsettled(m, now, s)
		}
	})
}

// unsettled notes what a change of a core machine means to all: that moment, and the time without a
// majority.
func (g *Cluster) unsettled(m *Machine, now time.Duration, s *Story) {
	if !m.core() {
		return
	}
	s.Troubles = append(s.Troubles, &Trouble{Core: true, Span: Span{now, now}})
	down := 0
	for _, c := range g.Cores {
		if c.trouble != nil { // written under the record's lock only
			down++
		}
	}
	switch lost := 2*down >= len(g.Cores); {
	case lost && g.headless == nil:
		g.headless = &Trouble{Core: true, Span: Span{From: now}}
		s.Troubles = append(s.Troubles, g.headless)
	case !lost && g.headless != nil:
		g.headless.Until, g.headless = now, nil
	}
}

// ask calls for readiness as a platform does.
func (m *Machine) ask() {
	client := &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(readyEvery)
	defer tick.Stop()
	for missed := 0; ; {
		ctx, cancel := context.WithTimeout(context.Background(), readyFor)
		status, _ := call(ctx, client, http.MethodGet, "http://"+m.at(readyPort)+"/api/readiness", nil)
		cancel()
		if status == http.StatusOK {
			missed = 0
			m.in.Store(true)
		} else if missed++; missed >= 2 {
			m.in.Store(false)
		}
		select {
		case <-tick.C:
		case <-m.quit:
			return
		}
	}
}

// seen is what the process has said in its log.
func (m *Machine) seen() said {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.look()
	return m.said
}

// look reads on in the log.
func (m *Machine) look() {
	f, err := os.Open(m.logFile())
	if err != nil {
		return
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || info.Size() <= m.read {
		return
	}
	text := make([]byte, min(info.Size()-m.read, mostLog))
	n, _ := f.ReadAt(text, m.read)
	end := bytes.LastIndexByte(text[:n], '\n') + 1
	m.read += int64(end)
	for line := range strings.Lines(string(text[:end])) {
		switch fields := logfmtOf(line); fields["message"] {
		case "agreement":
			m.said.role = fields["role"]
		case "configuration":
			if i, err := strconv.ParseUint(fields["index"], 10, 64); err == nil {
				m.said.index = i
			}
		}
	}
}

// logfmtOf reads a line of a process's log, whose values have no blanks where we look.
func logfmtOf(line string) map[string]string {
	fields := map[string]string{}
	for part := range strings.FieldsSeq(line) {
		if name, value, ok := strings.Cut(part, "="); ok {
			fields[name] = strings.Trim(value, `"`)
		}
	}
	if _, rest, ok := strings.Cut(line, `message="`); ok {
		fields["message"], _, _ = strings.Cut(rest, `"`)
	}
	return fields
}

// lastWord is the last line that the process said.
func (m *Machine) lastWord() string {
	text, _ := os.ReadFile(m.logFile())
	text = bytes.TrimSpace(text[max(0, len(text)-tailBytes):])
	state := "runs"
	if !m.Running() {
		state = "is down"
	}
	return state + ", said last: " + string(text[bytes.LastIndexByte(text, '\n')+1:])
}

// close ends the process and the calls for readiness.
func (m *Machine) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.quit:
	default:
		close(m.quit)
	}
	if m.proc != nil {
		m.proc.Kill() // which ends one that is stopped, too
		<-m.proc.Ended()
	}
}
