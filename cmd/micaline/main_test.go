package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micaline/internal/standin"
	"example.org/micaline/internal/standin/network"
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

const config = `{"name":"n1","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":0.5,"memory_mb":192,"sockets":1024},
 "settings":{"categories":[{"name":"c","aim":100,"deadline":200,"credit":1,"effect":"pure"}],"replicasOfMe":1,
  "limits":{"maxAttempts":%d,"connectTimeout":100},"rules":{"coldFrom":0.5,"overloadFactor":2}}}`

// program prepares the program and returns the path of its configuration file too.
func program(t *testing.T, configuration string) (cmd *exec.Cmd, stderr io.ReadCloser, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(configuration), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	return cmd, stderr, path
}

// discovery is a service with one list; each call's query goes into the channel.
func discovery(t *testing.T) (addr string, asked chan string) {
	t.Helper()
	l, err := standin.NewListScript([]byte(`{"revision":1,"complete":true,"members":[{"id":"x","host_port":"127.0.0.1:1","phase":"Ready"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l.Addr, l.Calls
}

// freeAddr is an address that is free: the program must be told one.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := network.NewLoopback(1, false).FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

const wait = 20 * time.Second

// follows waits until the list has been asked for and is watched.
func follows(t *testing.T, asked chan string) {
	t.Helper()
	for {
		select {
		case q := <-asked:
			if q != "" {
				return
			}
		case <-time.After(wait):
			t.Fatal("the program does not follow the list")
		}
	}
}

func notify(t *testing.T, cmd *exec.Cmd, s syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// ends waits until the program has ended, and well.
func ends(t *testing.T, cmd *exec.Cmd, stderr io.Reader) {
	t.Helper()
	ended := make(chan error, 1)
	go func() {
		io.Copy(io.Discard, stderr)
		ended <- cmd.Wait()
	}()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(wait):
		t.Fatal("the program goes on")
	}
}

func TestBadConfigurationEndsTheStart(t *testing.T) {
	cmd, stderr, _ := program(t, fmt.Sprintf(config, "127.0.0.1:0", "127.0.0.1:1", 0))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(stderr)
	err := cmd.Wait()
	if err == nil || bytes.Count(text, []byte("\n")) != 1 || !bytes.Contains(text, []byte("MaxAttempts")) {
		t.Errorf("error %v, output %q", err, text)
	}
}

// SIGTERM ends the program with 0, also while a client holds a connection that it has never used.
func TestTermination(t *testing.T) {
	addr, asked := discovery(t)
	listen := freeAddr(t)
	cmd, stderr, _ := program(t, fmt.Sprintf(config, listen, addr, 1))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	follows(t, asked) // so it listens
	unused, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	notify(t, cmd, syscall.SIGTERM)
	ends(t, cmd, stderr)
}

// SIGHUP brings a new configuration; one that cannot be used leaves the old one and says so in one line.
func TestHangupReloads(t *testing.T) {
	first, asked := discovery(t)
	second, askedSecond := discovery(t)
	listen := freeAddr(t)
	cmd, stderr, path := program(t, fmt.Sprintf(config, listen, first, 1))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(stderr)
	follows(t, asked)
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	notify(t, cmd, syscall.SIGHUP)
	if !lines.Scan() || !strings.Contains(lines.Text(), "not reloaded") {
		t.Fatalf("a bad file is told as %q", lines.Text())
	}
	next := path + ".new"
	if err := os.WriteFile(next, fmt.Appendf(nil, config, listen, second, 1), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, path); err != nil {
		t.Fatal(err)
	}
	notify(t, cmd, syscall.SIGHUP)
	follows(t, askedSecond)
	if !lines.Scan() || !strings.Contains(lines.Text(), "reloaded") || !strings.Contains(lines.Text(), second) {
		t.Errorf("a good file is told as %q", lines.Text())
	}
	notify(t, cmd, syscall.SIGTERM)
	ends(t, cmd, stderr)
}

// invoke runs the program with arguments and returns what it has said and its exit code.
func invoke(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	var out, errs bytes.Buffer
	cmd := exec.CommandContext(t.Context(), os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

// The command line answers flags that it can't use with one line that names them, and exit code 2.
func TestUnusableFlags(t *testing.T) {
	day := filepath.Join(t.TempDir(), "day.toml")
	if err := os.WriteFile(day, []byte("name = \"x\"\nagents = 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"nothing"}, "nothing"},
		{[]string{"try", "more"}, "more"},
		{[]string{"try", "--what"}, "--what"},
		{[]string{"try", "--for", "soon"}, "soon"},
		{[]string{"try", "--scenario", "nowhere"}, "nowhere"},
		{[]string{"try", "--scenario", day}, "line 2: agents"},
		{[]string{"try", "--beside", "nobody"}, "nobody"},
		{[]string{"try", "--agents", "-1"}, "--agents"},
		{[]string{"try", "--backends", "5000"}, "backends[0].count"},
		{[]string{"try", "--rate", "NaN"}, "--rate"},
		{[]string{"try", "--seed", "0"}, "--seed"},
		{[]string{"try", "--json", filepath.Join(day, "x")}, "--json"},
	} {
		_, said, code := invoke(t, c.args...)
		if code != 2 || !strings.Contains(said, c.want) || strings.Count(said, "\n") != 1 {
			t.Errorf("%v: exit code %d, said %q", c.args, code, said)
		}
	}
}

// A day is played and told, and the report is what it says it is.
func TestTry(t *testing.T) {
	file := filepath.Join(t.TempDir(), "report.json")
	out, said, code := invoke(t, "try", "--scenario", "calm", "--for", "2s", "--agents", "2", "--backends", "3", "--rate", "30",
		"--beside", "least-loaded", "--json", file)
	if code != 0 {
		t.Fatalf("exit code %d, said %s%s", code, out, said)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var report map[string]any
	if err := json.Unmarshal(text, &report); err != nil {
		t.Fatal(err)
	}
	beside, _ := report["beside"].(map[string]any)
	for _, name := range []string{
		"requests", "served", "served_in_aim", "refused", "failed", "lost", "effects_twice", "drains_broken",
		"cold_pushed_over", "p50_ms", "p99_ms",
	} {
		for _, r := range []map[string]any{report, beside} {
			if _, ok := r[name].(float64); !ok {
				t.Errorf("%s is %v", name, r[name])
			}
		}
	}
	if report["requests"] == 0.0 || !strings.Contains(out, "no request lost") || !strings.Contains(out, "least-loaded") {
		t.Errorf("report %s\nsaid %s", text, out)
	}
}

func TestHelpVersionAndList(t *testing.T) {
	for want, args := range map[string][]string{
		"GW_CONFIG": {"help"}, "--beside": {"help", "try"}, "go1.": {"version"}, "rolling-restart": {"try", "--list"},
	} {
		if out, said, code := invoke(t, args...); code != 0 || !strings.Contains(out, want) {
			t.Errorf("%v: exit code %d, said %q%q", args, code, out, said)
		}
	}
}

// The operators' file turns the control interface on; ctl shows and changes the instance over it.
func TestControl(t *testing.T) {
	addr, asked := discovery(t)
	cmd, stderr, _ := program(t, fmt.Sprintf(config, freeAddr(t), addr, 3))
	cmd.Dir = t.TempDir()
	// A path of a socket holds some hundred bytes, and those of test folders may be longer.
	short, err := os.MkdirTemp("", "m")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(short) })
	socket := filepath.Join(short, "c")
	if err := os.Mkdir(filepath.Join(cmd.Dir, "deploy"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(cmd.Dir, "deploy", "operators.toml"), fmt.Appendf(nil, "[control]\nunix = %q\n[[levels.level]]\nname = \"lean\"\nno_retries = true\n", socket), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	follows(t, asked)
	ctl := func(want int, words ...string) string {
		t.Helper()
		out, said, code := invoke(t, append([]string{"ctl", "--instance", socket}, words...)...)
		if code != want {
			t.Fatalf("ctl %v: exit code %d, said %s%s", words, code, out, said)
		}
		return out + said
	}
	if out := ctl(0, "show"); !strings.Contains(out, "n1") || !strings.Contains(out, "revision 0") {
		t.Errorf("shown %s", out)
	}
	for begun := time.Now(); !strings.Contains(ctl(0, "backends"), "Ready"); time.Sleep(time.Millisecond) {
		if time.Since(begun) > wait {
			t.Fatal("the backend is not shown")
		}
	}
	ctl(0, "hold", "x", "--for", "1h")
	if out := ctl(0, "backends"); !strings.Contains(out, "held by control for") {
		t.Errorf("shown %s", out)
	}
	ctl(0, "release", "x")
	ctl(4, "hold", "nobody")
	doc := filepath.Join(short, "d.json")
	if err := os.WriteFile(doc, []byte(`{"decisions":{"classes":{"c":{"worth":7}}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if out := ctl(0, "set", doc, "--dry-run"); !strings.Contains(out, "decisions.classes.c.worth") {
		t.Errorf("dry run: %s", out)
	}
	if out := ctl(0, "set", doc, "--id", "one"); !strings.Contains(out, "applied") {
		t.Errorf("set: %s", out)
	}
	if out := ctl(0, "set", doc, "--id", "one"); !strings.Contains(out, "revision 1 ") {
		t.Errorf("the same change again: %s", out)
	}
	ctl(0, "set", doc, "--confirm", "10s")
	if out := ctl(0, "document", "-o", "json"); !strings.Contains(out, `"revision": 2`) {
		t.Errorf("in force: %s", out)
	}
	if err := os.WriteFile(doc, []byte(`{"decisions":{"classes":{"other":{"worth":7}}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if out := ctl(4, "set", doc); !strings.Contains(out, "decisions.classes.other") {
		t.Errorf("a bad document: %s", out)
	}
	ctl(0, "drain")
	if out := ctl(0, "show"); !strings.Contains(out, "false") {
		t.Errorf("drained: %s", out)
	}
	ctl(0, "undrain")
	if out := ctl(0, "level"); !strings.Contains(out, "normal") || !strings.Contains(out, "in aim ") {
		t.Errorf("level: %s", out)
	}
	ctl(2, "hold-level", "lean")
	ctl(4, "hold-level", "none", "--why", "a fair")
	if out := ctl(0, "hold-level", "lean", "--for", "1h", "--why", "a fair"); !strings.Contains(out, "level lean, held for 1h") && !strings.Contains(out, "level lean, held for 59m") {
		t.Errorf("held: %s", out)
	}
	if out := ctl(0, "level"); !strings.Contains(out, "held by hand") || !strings.Contains(out, "a fair") {
		t.Errorf("level: %s", out)
	}
	ctl(0, "release-level")
	before := ctl(0, "show", "-o", "json")
	ctl(0, "reload")
	if after := ctl(0, "show", "-o", "json"); !strings.Contains(before, `"configuration": "`) || !strings.Contains(after, `"configuration": "`) {
		t.Errorf("configuration before %s, after %s", before, after)
	}
	ctl(0, "requests")
	ctl(0, "causes")
	ctl(2, "show", "more")
	notify(t, cmd, syscall.SIGTERM)
	ends(t, cmd, stderr)
	ctl(1, "show")
}
