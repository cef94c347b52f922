// Package bootstrap reads the settings of a process: the file that the machine
// gives it, checked, as a plain struct.
//
// The file has a line `a.b=value` for each field, and commas join lists. Fields that aren't known
// are ignored, as new ones may appear at any time; a field without a value counts as absent; of two
// lines for one field the later holds. The file may change under a running process, which then
// reads it again: settings are never altered, only replaced. What Load returns is whole (all that
// the process needs for what it serves is there, every address is one, every time is one);
// otherwise there is an error, which names the field and its line.
package bootstrap

import (
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
)

//go:generate protoc -I../../.. --go_out=../../.. --go_opt=paths=source_relative internal/mesh/bootstrap/bootstrap.proto

// What a process may serve; it needs other settings for each.
const (
	Sidecar      = "sidecar"
	ControlPlane = "control_plane"
)

const mostBytes = 1 << 20 // of a settings file, which has a few KB

// Settings are what a process is told. Figures of Limits that are absent are 0, which is unknown.
type Settings struct {
	NodeName, Role, Class string
	Serves                []string
	IP, Zone, Region      string
	Zones                 map[string]string // zone -> region

	Inbound, Outbound, Ready, Control string // host:port; "" if absent
	Gate                              string // where other agents reach the gate; "": where it listens

	SparePorts          [2]int // first and last; 0 if absent
	Seeds               []string
	FirstStart, Counted bool
	CPUShare            float64
	Cores               int // at least 1
	MemoryMB            int
	OpenFiles           int
	LinkMbps            float64
	DiskMB              int
	DataFolder          string
	BeatEvery           time.Duration
	Contracts           []string
	Tolerate            struct{ Machines, Zones, Regions int }
	Bounds              Bounds
	AppAddress, Service string
	Platform            Platform
}

// Platform is the operators' platform, which some calls of the mesh go to.
type Platform struct {
	Address  string   // host:port; "": there is none
	Duties   []string // that one process at a time carries out
	DutyPerS float64  // calls of these duties that it takes in a second from all processes; 0: unknown
}

// Has says whether there is a platform, and a duty at it.
func (p *Platform) Has(duty string) bool {
	return p.Address != "" && slices.Contains(p.Duties, duty)
}

// Bounds are the figures of the rules.
type Bounds struct {
	SeedDelay, ReuseAfter, InTouch, AckWithin, CatchUp time.Duration
	Drain, Grace, LossSlack, ApplyWithin, Fallback     time.Duration
	Stretch, RetryWindow, Evacuate, Recovery           time.Duration
	Lease, ReportWindow, UsageDelay                    time.Duration

	RetryRatio, ExtraTries, WarmupExcess, WarmupMargin float64
}

// Load reads the settings file.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, oops.In("settings").Errorf("no settings file: set MICALINE_CONFIG to its path")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, oops.In("settings").Wrapf(err, "open the settings")
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostBytes+1))
	if err != nil {
		return nil, oops.In("settings").With("path", path).Wrapf(err, "read the settings")
	}
	if len(text) > mostBytes {
		return nil, oops.In("settings").
			Errorf("%s holds more than %d bytes: is it the settings file?", path, mostBytes)
	}
	s, err := Parse(text)
	return s, oops.In("settings").Wrapf(err, "%s", path)
}

// Parse reads the text of a settings file.
func Parse(text []byte) (*Settings, error) {
	file, lines, err := read(text)
	if err != nil {
		return nil, err
	}
	c := &checker{lines: lines}
	s := c.settings(file)
	c.served(s)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

// needs is what a process can't do without, by what it serves.
var needs = map[string][]string{
	Sidecar: {
		"ip", "zone", "addresses.control", "addresses.outbound", "addresses.ready", "addresses.inbound",
		"seed_nodes", "service", "app_address",
	},
	ControlPlane: {"addresses.control", "data_folder", "seed_nodes"},
}

// checker turns what was read into settings, and keeps the first error.
type checker struct {
	lines map[string]line
	err   error
}

func (c *checker) settings(file *File) *Settings {
	c.need("every process", "node_name", "machine_class")
	a, l, t, p := file.GetAddresses(), file.GetLimits(), file.GetTolerate(), file.GetCloudApi()
	s := &Settings{
		NodeName:   file.NodeName,
		Role:       file.Role,
		Class:      file.MachineClass,
		Serves:     file.Serves,
		IP:         file.Ip,
		Zone:       file.Zone,
		Region:     file.Region,
		Zones:      file.Zones,
		Inbound:    c.address("addresses.inbound", a.GetInbound()),
		Outbound:   c.address("addresses.outbound", a.GetOutbound()),
		Ready:      c.address("addresses.ready", a.GetReady()),
		Control:    c.address("addresses.control", a.GetControl()),
		Gate:       c.address("addresses.gate", a.GetGate()),
		FirstStart: file.FirstStart,
		Counted:    file.Counted,
		CPUShare:   c.figure("limits.cpu_share", l.GetCpuShare()),
		Cores:      max(1, c.whole("limits.cores", l.GetCores())),
		MemoryMB:   c.whole("limits.memory_mb", l.GetMemoryMb()),
		OpenFiles:  c.whole("limits.open_files", l.GetOpenFiles()),
		LinkMbps:   c.figure("limits.link_mbps", l.GetLinkMbps()),
		DiskMB:     c.whole("limits.disk_mb", l.GetDiskMb()),
		DataFolder: file.DataFolder,
		Contracts:  file.Contracts,
		AppAddress: c.address("app_address", file.AppAddress),
		Service:    file.Service,
		Platform: Platform{
			Address:  c.address("cloud_api.address", p.GetAddress()),
			Duties:   p.GetDuties(),
			DutyPerS: c.figure("cloud_api.duty_per_s", p.GetDutyPerS()),
		},
	}
	s.Tolerate.Machines = c.whole("tolerate.machines", t.GetMachines())
	s.Tolerate.Zones = c.whole("tolerate.zones", t.GetZones())
	s.Tolerate.Regions = c.whole("tolerate.regions", t.GetRegions())
	if ip, err := netip.ParseAddr(s.IP); s.IP != "" && (err != nil || !ip.Is4()) {
		c.wrong("ip", s.IP, "no IPv4 address", "write it as 10.1.0.41")
	}
	for _, seed := range file.SeedNodes {
		s.Seeds = append(s.Seeds, c.address("seed_nodes", seed))
	}
	c.ports(s, file.SparePorts)
	c.defaulted(s)
	return s
}

// served sees to it that all is there for what the process serves.
func (c *checker) served(s *Settings) {
	for _, served := range s.Serves {
		c.need("a process that serves "+served, needs[served]...)
	}
}

func (c *checker) need(who string, fields ...string) {
	for _, field := range fields {
		if _, there := c.lines[field]; !there && c.err == nil {
			c.err = oops.In("settings").With("field", field).
				Errorf("%s is missing: %s needs it, so add a line %s=...", field, who, field)
		}
	}
}

func (c *checker) address(field, value string) string {
	if value == "" {
		return ""
	}
	at, err := netip.ParseAddrPort(value)
	if err != nil || !at.Addr().Is4() || at.Port() == 0 {
		c.wrong(field, value, "no address", "write an IPv4 address and a port, as 10.1.0.41:8620")
	}
	return value
}

func (c *checker) ports(s *Settings, ports []float64) {
	if len(ports) == 0 {
		return
	}
	if len(ports) == 2 {
		s.SparePorts = [2]int{c.whole("spare_ports", ports[0]), c.whole("spare_ports", ports[1])}
	}
	if first, last := s.SparePorts[0], s.SparePorts[1]; first < 1 || last < first || last > 65535 {
		c.wrong("spare_ports", c.lines["spare_ports"].value, "no range of ports",
			"write the first and the last of them, as 7600,7615")
	}
}

// figure refuses what is a number for protojson and for nobody else.
func (c *checker) figure(field string, f float64) float64 {
	if !(f >= 0 && f <= mostFigure) {
		c.wrong(field, c.lines[field].value, "out of range", "write a number from 0 up")
	}
	return f
}

func (c *checker) whole(field string, f float64) int { return int(c.figure(field, f)) }

func (c *checker) wrong(field, value, problem, advice string) {
	if c.err == nil {
		c.err = wrong(field, value, c.lines[field].number, problem, advice)
	}
}

func wrong(field, value string, number int, problem, advice string) error {
	return oops.In("settings").With("field", field, "line", number).
		Errorf("%s: %q is %s (line %d): %s", field, value, problem, number, advice)
}

// list is a value that commas join.
func list(value string) []string {
	var all []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			all = append(all, part)
		}
	}
	return all
}
