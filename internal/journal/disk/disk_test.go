package disk

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"example.org/micaline/internal/journal"
)

// writerPath is the environment variable that holds the path of a journal. If it is set, the test
// binary writes to that journal instead of running the tests.
const writerPath = "MICALINE_TEST_JOURNAL"

func TestMain(m *testing.M) {
	if path := os.Getenv(writerPath); path != "" {
		writeUntilKilled(path)
	}
	os.Exit(m.Run())
}

// writeUntilKilled writes transactions of three records each, and prints the number of each
// transaction once it is written, until the process is killed.
func writeUntilKilled(path string) {
	j, err := Open(path, "b")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for i := 0; ; i++ {
		v := fmt.Appendf(nil, "%d", i)
		if err := j.Write([]journal.Record{{Bucket: "b", Key: "x", Value: v}, {Bucket: "b", Key: "y", Value: v}, {Bucket: "b", Key: fmt.Sprintf("z%03d", i%200), Value: bytes.Repeat(v, 100)}}); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(i)
	}
}

func readAll(t *testing.T, j *Journal) map[string]string {
	t.Helper()
	all := map[string]string{}
	if err := j.Read("b", func(k string, v []byte) error {
		if v == nil {
			return fmt.Errorf("%s is damaged", k)
		}
		all[k] = string(v)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return all
}

// TestKilled checks that records that were reported as written are present after the writer is
// killed, and that each transaction is present completely or not at all.
func TestKilled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	last := -1
	for round := range 4 {
		cmd := exec.CommandContext(t.Context(), os.Args[0])
		cmd.Env = append(os.Environ(), writerPath+"="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		for i := 0; i <= 20+round; i++ {
			if _, err := fmt.Fscanln(out, &last); err != nil {
				t.Fatal(err)
			}
		}
		cmd.Process.Kill()
		cmd.Wait()
		j, err := Open(path, "b")
		if err != nil {
			t.Fatal(err)
		}
		all := readAll(t, j)
		var n int
		fmt.Sscan(all["x"], &n)
		if all["x"] != all["y"] || n < last {
			t.Errorf("%q and %q, and %d was said to be written", all["x"], all["y"], last)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestDamagedRecord checks that a record that was changed on disk is reported as damaged, and that
// the others can be read.
func TestDamagedRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, err := Open(path, "b")
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Write([]journal.Record{{Bucket: "b", Key: "good", Value: []byte("something good")}, {Bucket: "b", Key: "bad", Value: []byte("something bad")}}); err != nil {
		t.Fatal(err)
	}
	j.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, bytes.ReplaceAll(text, []byte("something bad"), []byte("something bat")), 0o600); err != nil {
		t.Fatal(err)
	}
	if j, err = Open(path, "b"); err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	got := map[string]string{}
	if err := j.Read("b", func(k string, v []byte) error { got[k] = string(v); return nil }); err != nil {
		t.Fatal(err)
	}
	if got["good"] != "something good" || got["bad"] != "" {
		t.Errorf("read %v", got)
	}
}

// TestCutAndGarbled checks that a file that is truncated anywhere, or partly overwritten with random
// bytes, is either opened or refused, and that nothing panics.
func TestCutAndGarbled(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "j")
	j, err := Open(path, "b")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 300 {
		if err := j.Write([]journal.Record{{Bucket: "b", Key: fmt.Sprintf("k%03d", i), Value: bytes.Repeat([]byte("x"), 300)}}); err != nil {
			t.Fatal(err)
		}
	}
	j.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	refused, opened := 0, 0
	try := func(what string, text []byte) {
		path := filepath.Join(dir, "t")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		j, err := Open(path, "b")
		if err != nil {
			if !strings.Contains(err.Error(), "journal") && !strings.Contains(err.Error(), path) {
				t.Errorf("%s: the error does not say what it is about: %v", what, err)
			}
			refused++
			return
		}
		opened++
		j.Read("b", func(string, []byte) error { return nil }) // may fail, but must not panic
		j.Close()
	}
	for cut := 1; cut < len(text); cut += len(text)/40 + 1 {
		try(fmt.Sprintf("cut at %d", cut), text[:cut])
	}
	for i := range 100 {
		bad := bytes.Clone(text)
		at := rng.IntN(len(bad) - 64)
		for k := range 64 {
			bad[at+k] = byte(rng.Uint32())
		}
		try(fmt.Sprintf("rubbish %d at %d", i, at), bad)
	}
	if refused < 20 || opened == 0 {
		t.Errorf("%d refused, %d opened", refused, opened)
	}
}

// TestOneAtATime checks that a journal that is already open is refused, without reporting damage.
func TestOneAtATime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, err := Open(path, "b")
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if _, err := Open(path, "b"); err == nil || errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), "another process") {
		t.Errorf("opened twice: %v", err)
	}
}
