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

// asProgram makes the test binary run the program instead of the tests.
const asProgram = "MICALINE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// instance is one that takes whatever it is told.
type instance struct {
	control.Instance // of which nothing calls more than what follows

	name string
	base settings.Settings
}

func (i *instance) Name() string             { return i.name }
func (i *instance) Base() *settings.Settings { return &i.base }
func (i *instance) State(context.Context) (*control.State, error) {
	return &control.State{Taking: true, Backends: []control.Backend{{Name: "b1", Phase: "Ready"}}}, nil
}
func (i *instance) Apply(context.Context, string, *document.Document) error { return nil }
func (i *instance) Hold(_ context.Context, name string, _ time.Duration) (bool, error) {
	return name == "b1", nil
}
func (i *instance) SetAccepting(bool)            {}
func (i *instance) Reload(context.Context) error { return nil }

// site is a folder with all that operators write.
type site struct {
	t    testing.TB
	dir  string
	ca   *authority.Authority
	sock string // of the manager
}

func (s *site) write(name, format string, args ...any) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, fmt.Appendf(nil, format, args...), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// serve starts an instance and returns where it is.
func (s *site) serve(name string) string {
	s.t.Helper()
	base, err := settings.Parse([]byte(`{"categories":[{"name":"close","aim":600,"deadline":2500,"credit":2,"effect":"side_effect"}],
		"replicasOfMe":1,"limits":{"maxAttempts":3,"connectTimeout":100},"rules":{"coldFrom":0.5,"overloadFactor":2}}`))
	if err != nil {
		s.t.Fatal(err)
	}
	sum := sha256.Sum256([]byte("secret"))
	d := api.Door{Listen: "127.0.0.1:0", Token: []api.Token{{SHA256: hex.EncodeToString(sum[:]), Role: api.Change}}}
	if d.Certificate, d.Key, err = s.ca.Issue(name); err != nil {
		s.t.Fatal(err)
	}
	l, err := d.Open()
	if err != nil {
		s.t.Fatal(err)
	}
	server := control.NewServer(&instance{name: name, base: base}, control.Options{Epoch: name + "-e1", Access: d})
	go server.Serve(l[0])
	s.t.Cleanup(func() { server.Close() })
	return l[0].Addr().String()
}

// start starts the manager and waits until its socket is there.
func (s *site) start(file string) *exec.Cmd {
	s.t.Helper()
	cmd := exec.Command(os.Args[0], "--file", file)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		if c, err := net.Dial("unix", s.sock); err == nil {
			c.Close()
			return cmd
		}
		if time.Since(begun) > 20*time.Second {
			s.t.Fatal("the manager does not come up")
		}
	}
}

// ctl runs micaline ctl.
func (s *site) ctl(want int, words ...string) string {
	s.t.Helper()
	var out bytes.Buffer
	c := ctl.Command()
	c.SetArgs(words)
	c.SetOut(&out)
	c.SetErr(&out)
	c.SilenceErrors, c.SilenceUsage = true, true
	err := c.ExecuteContext(s.t.Context())
	code := 0
	var ended *exit.Error
	switch {
	case errors.As(err, &ended):
		code = ended.Code
	case err != nil:
		code = ctl.ExitUsage
	}
	if code != want {
		s.t.Fatalf("ctl %v: exit code %d, want %d: %v\n%s", words, code, want, err, out.String())
	}
	if err != nil {
		return out.String() + err.Error()
	}
	return out.String()
}

// A first change of a fleet from start to finish, with the manager killed in its midst, over TLS, by the command line.
func TestFleet(t *testing.T) {
	dir, err := os.MkdirTemp("", "m") // paths of sockets are short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	s := &site{t: t, dir: dir, sock: filepath.Join(dir, "m.sock")}
	if s.ca, err = authority.New(dir); err != nil {
		t.Fatal(err)
	}
	token := s.write("token", "secret\n")
	var fleet strings.Builder
	fmt.Fprintf(&fleet, "[access]\nca = %q\ntoken_file = %q\n", s.ca.CA, token)
	for i := range 6 {
		name := fmt.Sprintf("i%d", i+1)
		fmt.Fprintf(&fleet, "[[instance]]\nname = %q\naddr = %q\nlabels = {zone = %q}\n", name, s.serve(name), string(rune('a'+i%2)))
	}
	fleetFile := s.write("fleet.toml", "%s", fleet.String())
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
	file := s.write("manage.toml", "journal = %q\nfleet = %q\n[interface]\nunix = %q\nlisten = %q\ncertificate = %q\nkey = %q\n[[interface.token]]\nrole = \"announce\"\nsha256 = %q\n",
		filepath.Join(dir, "journal"), fleetFile, s.sock, addr, cert, key, hex.EncodeToString(sum[:]))
	manager := s.start(file)
	m := []string{"--manager", s.sock}
	managed := func(want int, words ...string) string { t.Helper(); return s.ctl(want, append(words, m...)...) }
	until := func(what string, f func() bool) {
		t.Helper()
		for begun := time.Now(); !f(); time.Sleep(20 * time.Millisecond) {
			if time.Since(begun) > 30*time.Second {
				t.Fatalf("never: %s", what)
			}
		}
	}
	status := func() (v manage.Status) {
		if err := json.Unmarshal([]byte(managed(0, "manager", "-o", "json")), &v); err != nil {
			t.Fatal(err)
		}
		return v
	}
	until("all are seen", func() bool { v := status(); return v.Reachable == 6 && v.Fence != 0 })
	if out := managed(0, "instances", "--select", "zone=a"); strings.Count(out, "nothing wanted") != 3 || !strings.Contains(out, "i3") {
		t.Errorf("instances:\n%s", out)
	}

	// One that announces itself.
	own, err := api.NewDialer(api.Credentials{CA: s.ca.CA, TokenFile: s.write("announcer", "announcer")})
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	at := manage.NewClient(own.At(api.Address{Name: "manager", Addr: addr}))
	if err := at.Announce(t.Context(), "i7", &manage.Announcement{Addr: s.serve("i7"), Labels: map[string]string{"zone": "c"}}); err != nil {
		t.Fatal(err)
	}
	var p *api.Problem
	if _, err := at.Status(t.Context()); !errors.As(err, &p) || p.Status != 403 {
		t.Errorf("who may announce reads: %v", err)
	}
	until("the announced one is seen", func() bool { return status().Reachable == 7 })

	doc := s.write("calm.json", `{"decisions":{"max_attempts":2}}`)
	if out := managed(0, "plan", doc); strings.Count(out, "decisions.max_attempts") != 7 || !strings.Contains(out, "waves of 1 3 3 instances") {
		t.Errorf("plan:\n%s", out)
	}
	if out := managed(0, "apply", doc, "--dry-run", "--select", "zone=c"); strings.Count(out, "decisions.max_attempts") != 1 {
		t.Errorf("dry run:\n%s", out)
	}
	quick := []string{"--bake", "200ms", "--least", "0"}
	managed(0, append([]string{"apply", doc, "--id", "first", "--no-wait"}, quick...)...)
	until("the first wave is out", func() bool { return strings.Contains(managed(0, "report", "first"), "applied") })
	manager.Process.Signal(syscall.SIGKILL)
	manager.Wait()
	os.Remove(s.sock) // which tells start when the next is there
	s.start(file)
	until("it takes orders", func() bool { return status().Fence != 0 })
	out := managed(0, append([]string{"apply", doc, "--id", "first"}, quick...)...) // the same again: waits for its end
	if !strings.Contains(out, "completed") || strings.Count(out, "applied") < 7 {
		t.Errorf("first:\n%s", out)
	}
	if out := managed(0, "report"); !strings.Contains(out, "first") {
		t.Errorf("report:\n%s", out)
	}
	bad := s.write("bad.json", `{"decisions":{"classes":{"other":{"worth":1}}}}`)
	if out := managed(ctl.ExitRefused, append([]string{"apply", bad, "--id", "bad"}, quick...)...); !strings.Contains(out, "decisions.classes.other") || !strings.Contains(out, "rolled back") {
		t.Errorf("bad:\n%s", out)
	}
	if out := managed(0, "rollback", "first"); !strings.Contains(out, "7 taken back") {
		t.Errorf("rollback:\n%s", out)
	}
	managed(ctl.ExitRefused, "resume", "nothing")
	managed(ctl.ExitRefused, "abort", "first")
	managed(0, "takeover")
	managed(ctl.ExitUsage, "apply", filepath.Join(dir, "none.json"))
	if out := managed(ctl.ExitRefused, "apply", doc, "--canaries", "0"); !strings.Contains(out, "limits.canaries") {
		t.Errorf("no canaries:\n%s", out)
	}

	// Without the manager, to many instances at once.
	f := []string{"--fleet", fleetFile}
	direct := func(want int, words ...string) string { t.Helper(); return s.ctl(want, append(words, f...)...) }
	if out := direct(0, "instances"); strings.Count(out, "-e1") != 6 {
		t.Errorf("instances:\n%s", out)
	}
	if out := direct(0, "backends", "--select", "i1"); !strings.Contains(out, "b1") {
		t.Errorf("backends:\n%s", out)
	}
	if out := direct(0, "hold", "b1", "--select", "zone=b"); strings.Count(out, "held out") != 3 {
		t.Errorf("hold:\n%s", out)
	}
	if out := direct(ctl.ExitRefused, "hold", "nobody"); strings.Count(out, "no such backend") != 6 {
		t.Errorf("hold of nobody:\n%s", out)
	}
	if out := direct(0, "set", doc, "--dry-run", "--select", "zone=a"); strings.Count(out, "max_attempts") != 3 {
		t.Errorf("dry run:\n%s", out)
	}
	for _, words := range [][]string{{"show"}, {"drain"}, {"undrain"}, {"reload"}, {"requests"}, {"causes"}, {"document"}, {"release", "b1"}} {
		var many []struct{ Instance, Error string }
		if err := json.Unmarshal([]byte(direct(0, append(words, "-o", "json")...)), &many); err != nil || len(many) != 6 || many[0].Instance != "i1" || many[0].Error != "" {
			t.Errorf("%v: %+v, error %v", words, many, err)
		}
	}
	direct(ctl.ExitUsage, "show", "--select", "zone=z")
	direct(ctl.ExitUsage, "show", "--select", "[")
	direct(ctl.ExitUsage, "show", "--output", "xml")
	// With one of them gone it is said which, and that it is not all of them.
	s.write("fleet.toml", "%s[[instance]]\nname = \"gone\"\naddr = \"127.0.0.1:1\"\n", fleet.String())
	if out := direct(ctl.ExitPartial, "show"); !strings.Contains(out, "gone") || !strings.Contains(out, "1 of 7 instances") {
		t.Errorf("one gone:\n%s", out)
	}
	// One instance over TLS, with the credentials of flags and none.
	one := "i7@" + strings.Fields(managed(0, "instances", "--select", "i7"))[11]
	s.ctl(0, "show", "--instance", one, "--ca", s.ca.CA, "--token-file", token)
	if out := s.ctl(ctl.ExitRefused, "show", "--instance", one, "--ca", s.ca.CA); !strings.Contains(out, "token") {
		t.Errorf("without a token: %s", out)
	}
	s.ctl(ctl.ExitFailed, "show", "--instance", one)
	s.ctl(ctl.ExitUsage, "show", "--instance", "a b@127.0.0.1:1")
	s.ctl(ctl.ExitUsage, "show")
	s.ctl(ctl.ExitUsage, "plan", doc)
}

// A file that can't be used ends the start with its line and field, a journal that is cut with what is wrong with it.
func TestBadFiles(t *testing.T) {
	s := &site{t: t, dir: t.TempDir()}
	run := func(file string) (string, int) {
		cmd := exec.CommandContext(t.Context(), os.Args[0], "--file", file)
		cmd.Env = append(os.Environ(), asProgram+"=1")
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
		if out, code := run(s.write("m.toml", "%s", text)); code != 2 || !strings.Contains(out, want) || strings.Count(out, "\n") != 1 {
			t.Errorf("%q: exit code %d, said %q", text, code, out)
		}
	}
	j := s.write("journal", "%s", strings.Repeat("x", 9000))
	if out, code := run(s.write("m.toml", "journal = %q\n[interface]\nunix = %q\n", j, sock)); code != 1 || !strings.Contains(out, "damaged") {
		t.Errorf("a journal of rubbish: exit code %d, said %q", code, out)
	}
}
