package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/ctl"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/exit"
	"example.org/micaline/internal/manage"
	"example.org/micaline/internal/settings"
	"example.org/micaline/internal/standin/authority"
)

// runAsProgram is the environment variable that makes the test binary run the program instead of
// the tests.
const runAsProgram = "MICALINE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// fakeInstance is an instance that accepts all changes.
type fakeInstance struct {
	control.Instance // only the methods below are called

	name string
	base settings.Settings
}

func (i *fakeInstance) Name() string             { return i.name }
func (i *fakeInstance) Base() *settings.Settings { return &i.base }
func (i *fakeInstance) State(context.Context) (*control.State, error) {
	return &control.State{Taking: true, Backends: []control.Backend{{Name: "b1", Phase: "Ready"}}}, nil
}
func (i *fakeInstance) Apply(context.Context, string, *document.Document) error { return nil }
func (i *fakeInstance) Hold(_ context.Context, name string, _ time.Duration) (bool, error) {
	return name == "b1", nil
}
func (i *fakeInstance) SetAccepting(bool)            {}
func (i *fakeInstance) Reload(context.Context) error { return nil }

// testEnvironment is a directory with the files that operators write, and a certificate authority.
type testEnvironment struct {
	t             testing.TB
	dir           string
	ca            *authority.Authority
	managerSocket string // path of the manager's Unix socket
}

func (s *testEnvironment) writeFile(name, format string, args ...any) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, fmt.Appendf(nil, format, args...), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// startInstance starts an instance and returns its address.
func (s *testEnvironment) startInstance(name string) string {
	s.t.Helper()
	base, err := settings.Parse([]byte(`{"categories":[{"name":"close","aim":600,"deadline":2500,"credit":2,"effect":"side_effect"}],
		"replicasOfMe":1,"limits":{"maxAttempts":3,"connectTimeout":100},"rules":{"coldFrom":0.5,"overloadFactor":2}}`))
	if err != nil {
		s.t.Fatal(err)
	}
	sum := sha256.Sum256([]byte("secret"))
	door := api.Door{Listen: "127.0.0.1:0", Token: []api.Token{{SHA256: hex.EncodeToString(sum[:]), Role: api.Change}}}
	if door.Certificate, door.Key, err = s.ca.Issue(name); err != nil {
		s.t.Fatal(err)
	}
	l, err := door.Open()
	if err != nil {
		s.t.Fatal(err)
	}
	server := control.NewServer(&fakeInstance{name: name, base: base}, control.Options{Epoch: name + "-e1", Access: door})
	go server.Serve(l[0])
	s.t.Cleanup(func() { server.Close() })
	return l[0].Addr().String()
}

// startManager starts the manager and waits until its socket accepts connections.
func (s *testEnvironment) startManager(file string) *exec.Cmd {
	s.t.Helper()
	cmd := exec.Command(os.Args[0], "--file", file)
	cmd.Env = append(os.Environ(), runAsProgram+"=1")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		if c, err := net.Dial("unix", s.managerSocket); err == nil {
			c.Close()
			return cmd
		}
		if time.Since(begun) > 20*time.Second {
			s.t.Fatal("the manager did not start")
		}
	}
}

// runCtl runs micaline ctl, checks its exit code and returns its output.
func (s *testEnvironment) runCtl(wantCode int, args ...string) string {
	s.t.Helper()
	var out bytes.Buffer
	command := ctl.Command()
	command.SetArgs(args)
	command.SetOut(&out)
	command.SetErr(&out)
	command.SilenceErrors, command.SilenceUsage = true, true
	err := command.ExecuteContext(s.t.Context())
	code := 0
	var exitErr *exit.Error
	switch {
	case errors.As(err, &exitErr):
		code = exitErr.Code
	case err != nil:
		code = ctl.ExitUsage
	}
	if code != wantCode {
		s.t.Fatalf("ctl %v: exit code %d, want %d: %v\n%s", args, code, wantCode, err, out.String())
	}
	if err != nil {
		return out.String() + err.Error()
	}
	return out.String()
}

// TestFleet rolls a first document out to a fleet by the command line and over TLS. The manager is
// killed during the rollout and continues it after its restart.
func TestFleet(t *testing.T) {
	dir, err := os.MkdirTemp("", "m") // paths of sockets are short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	s := &testEnvironment{t: t, dir: dir, managerSocket: filepath.Join(dir, "m.sock")}
	if s.ca, err = authority.New(dir); err != nil {
		t.Fatal(err)
	}
	token := s.writeFile("token", "secret\n")
	var fleet strings.Builder
	fmt.Fprintf(&fleet, "[access]\nca = %q\ntoken_file = %q\n", s.ca.CA, token)
	for i := range 6 {
		name := fmt.Sprintf("i%d", i+1)
		fmt.Fprintf(&fleet, "[[instance]]\nname = %q\naddr = %q\nlabels = {zone = %q}\n", name, s.startInstance(name), string(rune('a'+i%2)))
	}
	fleetFile := s.writeFile("fleet.toml", "%s", fleet.String())
	cert, key, err := s.ca.Issue("manager")
	if err != nil {
		t.Fatal(err)
	}
	sum := sha256.Sum256([]byte("announcer"))
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listen.Addr().String()
	listen.Close()
	file := s.writeFile("manage.toml", "journal = %q\nfleet = %q\n[interface]\nunix = %q\nlisten = %q\ncertificate = %q\nkey = %q\n[[interface.token]]\nrole = \"announce\"\nsha256 = %q\n",
		filepath.Join(dir, "journal"), fleetFile, s.managerSocket, addr, cert, key, hex.EncodeToString(sum[:]))
	manager := s.startManager(file)
	managerFlags := []string{"--manager", s.managerSocket}
	ctlManager := func(wantCode int, args ...string) string {
		t.Helper()
		return s.runCtl(wantCode, append(args, managerFlags...)...)
	}
	waitFor := func(what string, condition func() bool) {
		t.Helper()
		for begun := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
			if time.Since(begun) > 30*time.Second {
				t.Fatalf("timed out waiting for: %s", what)
			}
		}
	}
	status := func() (v manage.Status) {
		if err := json.Unmarshal([]byte(ctlManager(0, "manager", "-o", "json")), &v); err != nil {
			t.Fatal(err)
		}
		return v
	}
	waitFor("all instances are reachable", func() bool { v := status(); return v.Reachable == 6 && v.Fence != 0 })
	if out := ctlManager(0, "instances", "--select", "zone=a"); strings.Count(out, "nothing wanted") != 3 || !strings.Contains(out, "i3") {
		t.Errorf("instances:\n%s", out)
	}

	// An instance that announces itself.
	announcer, err := api.NewDialer(api.Credentials{CA: s.ca.CA, TokenFile: s.writeFile("announcer", "announcer")})
	if err != nil {
		t.Fatal(err)
	}
	defer announcer.Close()
	announcerClient := manage.NewClient(announcer.At(api.Address{Name: "manager", Addr: addr}))
	if err := announcerClient.Announce(t.Context(), "i7", &manage.Announcement{Addr: s.startInstance("i7"), Labels: map[string]string{"zone": "c"}}); err != nil {
		t.Fatal(err)
	}
	var problem *api.Problem
	if _, err := announcerClient.Status(t.Context()); !errors.As(err, &problem) || problem.Status != 403 {
		t.Errorf("the announce role may read: %v", err)
	}
	waitFor("the announced instance is reachable", func() bool { return status().Reachable == 7 })

	doc := s.writeFile("calm.json", `{"decisions":{"max_attempts":2}}`)
	if out := ctlManager(0, "plan", doc); strings.Count(out, "decisions.max_attempts") != 7 || !strings.Contains(out, "waves of 1 3 3 instances") {
		t.Errorf("plan:\n%s", out)
	}
	if out := ctlManager(0, "apply", doc, "--dry-run", "--select", "zone=c"); strings.Count(out, "decisions.max_attempts") != 1 {
		t.Errorf("dry run:\n%s", out)
	}
	rolloutFlags := []string{"--bake", "200ms", "--least", "0"}
	ctlManager(0, append([]string{"apply", doc, "--id", "first", "--no-wait"}, rolloutFlags...)...)
	waitFor("the first wave is applied", func() bool { return strings.Contains(ctlManager(0, "report", "first"), "applied") })
	manager.Process.Signal(syscall.SIGKILL)
	manager.Wait()
	os.Remove(s.managerSocket) // startManager waits for the new socket
	s.startManager(file)
	waitFor("the restarted manager accepts orders", func() bool { return status().Fence != 0 })
	out := ctlManager(0, append([]string{"apply", doc, "--id", "first"}, rolloutFlags...)...) // the same order again: waits until the rollout ends
	if !strings.Contains(out, "completed") || strings.Count(out, "applied") < 7 {
		t.Errorf("first:\n%s", out)
	}
	if out := ctlManager(0, "report"); !strings.Contains(out, "first") {
		t.Errorf("report:\n%s", out)
	}
	bad := s.writeFile("bad.json", `{"decisions":{"classes":{"other":{"worth":1}}}}`)
	if out := ctlManager(ctl.ExitRefused, append([]string{"apply", bad, "--id", "bad"}, rolloutFlags...)...); !strings.Contains(out, "decisions.classes.other") || !strings.Contains(out, "rolled back") {
		t.Errorf("bad:\n%s", out)
	}
	if out := ctlManager(0, "rollback", "first"); !strings.Contains(out, "7 taken back") {
		t.Errorf("rollback:\n%s", out)
	}
	ctlManager(ctl.ExitRefused, "resume", "nothing")
	ctlManager(ctl.ExitRefused, "abort", "first")
	ctlManager(0, "takeover")
	ctlManager(ctl.ExitUsage, "apply", filepath.Join(dir, "none.json"))
	if out := ctlManager(ctl.ExitRefused, "apply", doc, "--canaries", "0"); !strings.Contains(out, "limits.canaries") {
		t.Errorf("no canaries:\n%s", out)
	}

	// Commands that reach all instances directly, without the manager.
	fleetFlags := []string{"--fleet", fleetFile}
	ctlFleet := func(wantCode int, args ...string) string {
		t.Helper()
		return s.runCtl(wantCode, append(args, fleetFlags...)...)
	}
	if out := ctlFleet(0, "instances"); strings.Count(out, "-e1") != 6 {
		t.Errorf("instances:\n%s", out)
	}
	if out := ctlFleet(0, "backends", "--select", "i1"); !strings.Contains(out, "b1") {
		t.Errorf("backends:\n%s", out)
	}
	if out := ctlFleet(0, "hold", "b1", "--select", "zone=b"); strings.Count(out, "held out") != 3 {
		t.Errorf("hold:\n%s", out)
	}
	if out := ctlFleet(ctl.ExitRefused, "hold", "nobody"); strings.Count(out, "no such backend") != 6 {
		t.Errorf("hold of an unknown backend:\n%s", out)
	}
	if out := ctlFleet(0, "set", doc, "--dry-run", "--select", "zone=a"); strings.Count(out, "max_attempts") != 3 {
		t.Errorf("dry run:\n%s", out)
	}
	for _, args := range [][]string{{"show"}, {"drain"}, {"undrain"}, {"reload"}, {"requests"}, {"causes"}, {"document"}, {"release", "b1"}} {
		var results []struct{ Instance, Error string }
		if err := json.Unmarshal([]byte(ctlFleet(0, append(args, "-o", "json")...)), &results); err != nil || len(results) != 6 || results[0].Instance != "i1" || results[0].Error != "" {
			t.Errorf("%v: %+v, error %v", args, results, err)
		}
	}
	ctlFleet(ctl.ExitUsage, "show", "--select", "zone=z")
	ctlFleet(ctl.ExitUsage, "show", "--select", "[")
	ctlFleet(ctl.ExitUsage, "show", "--output", "xml")
	// The output names an instance that is unreachable, and the exit code reports partial success.
	s.writeFile("fleet.toml", "%s[[instance]]\nname = \"gone\"\naddr = \"127.0.0.1:1\"\n", fleet.String())
	if out := ctlFleet(ctl.ExitPartial, "show"); !strings.Contains(out, "gone") || !strings.Contains(out, "1 of 7 instances") {
		t.Errorf("one instance unreachable:\n%s", out)
	}
	// One instance over TLS, with credentials given by flags and without.
	address := "i7@" + strings.Fields(ctlManager(0, "instances", "--select", "i7"))[11]
	s.runCtl(0, "show", "--instance", address, "--ca", s.ca.CA, "--token-file", token)
	if out := s.runCtl(ctl.ExitRefused, "show", "--instance", address, "--ca", s.ca.CA); !strings.Contains(out, "token") {
		t.Errorf("without a token: %s", out)
	}
	s.runCtl(ctl.ExitFailed, "show", "--instance", address)
	s.runCtl(ctl.ExitUsage, "show", "--instance", "a b@127.0.0.1:1")
	s.runCtl(ctl.ExitUsage, "show")
	s.runCtl(ctl.ExitUsage, "plan", doc)
}

// TestBadFiles checks that the manager exits with an error that names the line and field of an
// invalid file, or says that the journal is damaged.
func TestBadFiles(t *testing.T) {
	s := &testEnvironment{t: t, dir: t.TempDir()}
	run := func(file string) (string, int) {
		cmd := exec.CommandContext(t.Context(), os.Args[0], "--file", file)
		cmd.Env = append(os.Environ(), runAsProgram+"=1")
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.ProcessState.ExitCode()
	}
	sock := filepath.Join(s.dir, "s")
	for text, want := range map[string]string{
		"":                                  "journal: missing",
		"journal = \"here\"\n":              "line 1: journal",
		"journal = \"/j\"\nfleet = \"f\"\n": "line 2: fleet",
		"journal = \"/j\"\n":                "interface.unix",
		"journal = \"/j\"\n[interface]\nunix = \"x\"\n":                                         "line 3: interface.unix",
		"journal = \"/j\"\nport = 3\n":                                                          "line 2: port",
		fmt.Sprintf("journal = \"/j\"\nfleet = \"/none.toml\"\n[interface]\nunix = %q\n", sock): "none.toml",
	} {
		if out, code := run(s.writeFile("m.toml", "%s", text)); code != 2 || !strings.Contains(out, want) || strings.Count(out, "\n") != 1 {
			t.Errorf("%q: exit code %d, output %q", text, code, out)
		}
	}
	journalFile := s.writeFile("journal", "%s", strings.Repeat("x", 9000))
	if out, code := run(s.writeFile("m.toml", "journal = %q\n[interface]\nunix = %q\n", journalFile, sock)); code != 1 || !strings.Contains(out, "damaged") {
		t.Errorf("damaged journal: exit code %d, output %q", code, out)
	}
}
