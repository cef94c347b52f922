// Command knownred has test.sh pass over the tests that KNOWN-RED.txt lists, and over nothing else.
//
//	knownred check                   the list is well formed, and its tests exist
//	knownred judge OUTPUT            the run that wrote OUTPUT failed by listed tests alone
//	knownred stale OUTPUT [OUTPUT]     names the listed tests that failed in none of these
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"slices"
	"strings"

	"example.org/micaline/internal/knownred"
)

const (
	listFile = "KNOWN-RED.txt"
	module   = "example.org/micaline"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	list, err := load()
	if err != nil {
		return err
	}
	switch {
	case len(args) == 1 && args[0] == "check":
		return check(list)
	case len(args) == 2 && args[0] == "judge":
		return judge(list, args[1])
	case len(args) >= 1 && args[0] == "stale":
		return stale(list, args[1:])
	}
	return errors.New("usage: knownred check | judge OUTPUT | stale OUTPUT [OUTPUT]")
}

// load reads the list; without a file nothing is listed.
func load() (knownred.List, error) {
	file, err := os.Open(listFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	list, err := knownred.Parse(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", listFile, err)
	}
	return list, nil
}

// check prints the list, and fails if one of its tests does not exist.
func check(list knownred.List) error {
	for _, entry := range list {
		out, err := exec.Command("go", "test", "-list", "^"+entry.Test+"$", entry.Package).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%v: %w\n%s", entry, err, out)
		}
		if !slices.Contains(strings.Split(string(out), "\n"), entry.Test) {
			return fmt.Errorf("%s lists %v, which does not exist", listFile, entry)
		}
		fmt.Printf("known to fail: %v: %s\n", entry, entry.Reason)
	}
	return nil
}

// judge fails unless the run failed by listed tests alone.
func judge(list knownred.List, output string) error {
	verdict, err := verdictOf(list, output)
	if err != nil {
		return err
	}
	for _, entry := range verdict.Known {
		fmt.Printf("failed as known: %v: %s\n", entry, entry.Reason)
	}
	if !verdict.Excused() {
		return fmt.Errorf("failed and not listed in %s: %s", listFile, strings.Join(verdict.Unknown, ", "))
	}
	return nil
}

// stale prints the listed tests that failed in none of the outputs.
func stale(list knownred.List, outputs []string) error {
	failed := map[string]bool{}
	for _, output := range outputs {
		verdict, err := verdictOf(list, output)
		if err != nil {
			return err
		}
		for _, entry := range verdict.Known {
			failed[entry.String()] = true
		}
	}
	for _, entry := range list {
		if !failed[entry.String()] {
			fmt.Printf("%v is listed in %s and passed: take it out, or say there why it fails now and then\n", entry, listFile)
		}
	}
	return nil
}

// packageOf is the package of a test binary whose output is in a file that begins with the command `cd PACKAGE && ...`.
func packageOf(output string) string {
	text, err := os.ReadFile(output)
	if err != nil {
		return ""
	}
	dir, found := strings.CutPrefix(string(text), "cd ")
	if dir, _, _ = strings.Cut(dir, " "); found {
		return "./" + dir
	}
	return ""
}

func verdictOf(list knownred.List, output string) (*knownred.Verdict, error) {
	file, err := os.Open(output)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return list.Judge(file, module, packageOf(output))
}
