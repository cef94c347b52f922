package processtest

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// before is the program as it was before agents held duties, and each duty had a record of its own.
const before = "322f88f33e16102cf1ef12d51b61c5b9584d7c77"

var beforeDir string // where it was built

// buildBefore builds it from this repository's history, once; "" where there is none.
var buildBefore = sync.OnceValues(func() (string, error) {
	if err := exec.Command("git", "cat-file", "-e", before+"^{commit}").Run(); err != nil {
		return "", nil
	}
	dir, err := os.MkdirTemp("", "micaline-before")
	if err != nil {
		return "", err
	}
	beforeDir = dir
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return dir, err
	}
	cmd := exec.Command("sh", "-c", `git archive "$0" cmd internal policy go.mod go.sum | tar -x -C "$1" && cd "$1" && go build -buildvcs=false -o "$1" ./cmd/micaline ./cmd/micaline-manage`, before, dir)
	cmd.Dir = strings.TrimSpace(string(root))
	if out, err := cmd.CombinedOutput(); err != nil {
		return dir, fmt.Errorf("building the program of before: %w\n%s", err, out)
	}
	return dir, nil
})

// rollBack puts a manager back to the build before, whose program is to refuse the journal of the new one by a record's name, and has it
// go on as the new one.
func (h *managerGroup) rollBack(name, old string) {
	was := h.Older
	as := func(older map[string]string) {
		h.Older = older
		if err := errors.Join(h.Write(), h.Start(name)); err != nil {
			h.t.Error(err)
		}
	}
	h.Kill(name)
	next := maps.Clone(was)
	next[name] = old
	as(next)
	select {
	case <-h.Process(name).Ended():
	case <-time.After(5 * time.Second):
	}
	if text, _ := os.ReadFile(filepath.Join(h.Dir, name, "log.2")); !strings.Contains(string(text), `"history"`) {
		h.t.Errorf("%s goes on as the build before with the journal of the new one: %s", name, text)
	}
	h.Kill(name)
	as(was)
}
