package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// What the deploy file builds is linked against the C library, into which platforms load libraries of their own, and what it
// runs is that one process.
func TestDeployedProgramIsLinkedDynamically(t *testing.T) {
	const root = "../.."
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	if deploy.Run != "exec bin/micaline" {
		t.Errorf("run is %q", deploy.Run)
	}
	const into = "-o bin/ ./cmd/..."
	if !strings.Contains(deploy.Build, into) {
		t.Fatalf("build is %q", deploy.Build)
	}
	program := filepath.Join(t.TempDir(), "micaline")
	build := exec.CommandContext(t.Context(), "sh", "-c", strings.Replace(deploy.Build, into, "-o "+program+" ./cmd/micaline", 1))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	f, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("links against %v, %v", libraries, err)
	}
	// The C compiler's start files bring this entry; Go's own linker names the library too, but not that.
	if start, err := f.DynValue(elf.DT_INIT); err != nil || len(start) == 0 {
		t.Errorf("not linked by the C compiler: %v, %v", start, err)
	}
}
