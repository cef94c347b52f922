// Package knownred reads KNOWN-RED.txt, the list of tests that are known to fail, and judges the output of `go test` by it.
//
// A line of the list is `package TestName: cause, issue`, the package as in `./internal/group`. There are three at most. A run
// that failed is passed over only if each of its failures is a listed test: what fails without the name of a test, such as a
// build, a panic (after which the package's other tests have not run), a timeout or a data race, is never passed over.
package knownred

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// maxEntries is how many tests may be listed.
const maxEntries = 3

// Entry is a test that is known to fail.
type Entry struct {
	Package string // relative to the module, such as ./internal/group
	Test    string
	Reason  string // cause and issue
}

// String is the entry without its reason.
func (e Entry) String() string { return e.Package + " " + e.Test }

// List are the tests that are known to fail.
type List []Entry

var linePattern = regexp.MustCompile(`^(\./\S+) (Test\w+): (\S.*, \S.*)$`)

// Parse reads a list.
func Parse(r io.Reader) (List, error) {
	var list List
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		parts := linePattern.FindStringSubmatch(lines.Text())
		if parts == nil {
			return nil, fmt.Errorf("%q is not `./package TestName: cause, issue`", lines.Text())
		}
		entry := Entry{Package: parts[1], Test: parts[2], Reason: parts[3]}
		if list.has(entry.Package, entry.Test) {
			return nil, fmt.Errorf("%v is listed twice", entry)
		}
		list = append(list, entry)
	}
	if len(list) > maxEntries {
		return nil, fmt.Errorf("%d tests are listed, and %d may be", len(list), maxEntries)
	}
	return list, lines.Err()
}

func (l List) has(pkg, test string) bool {
	return slices.ContainsFunc(l, func(e Entry) bool { return e.Package == pkg && e.Test == test })
}

// Verdict is what the output of a run shows.
type Verdict struct {
	Known   []Entry  // listed tests that failed
	Unknown []string // other failures
}

// Excused says whether the run failed by listed tests alone.
func (v *Verdict) Excused() bool { return len(v.Known) > 0 && len(v.Unknown) == 0 }

var (
	failedTest    = regexp.MustCompile(`^--- FAIL: (Test\w+)`)
	failedPackage = regexp.MustCompile(`^FAIL\t(\S+)`)
	brokenRun     = regexp.MustCompile(`^(panic: |fatal error: |exit status [^1]|signal: |WARNING: DATA RACE)`)
)

// Judge reads the output of a run that failed. The packages' paths begin with module; a test binary that was run by itself names
// no package, and is that of pkg.
func (l List) Judge(output io.Reader, module, pkg string) (*Verdict, error) {
	verdict := &Verdict{}
	var failed []string // tests of the package whose end is still to come
	endPackage := func(name string) {
		if len(failed) == 0 {
			verdict.Unknown = append(verdict.Unknown, name+" failed without a failed test")
		}
		for _, test := range failed {
			if i := slices.IndexFunc(l, func(e Entry) bool { return e.Package == name && e.Test == test }); i >= 0 {
				verdict.Known = append(verdict.Known, l[i])
			} else {
				verdict.Unknown = append(verdict.Unknown, name+" "+test)
			}
		}
		failed = nil
	}
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 16<<20) // an explorer prints whole states
	for lines.Scan() {
		line := lines.Text()
		if parts := failedTest.FindStringSubmatch(line); parts != nil {
			failed = append(failed, parts[1])
		} else if parts := failedPackage.FindStringSubmatch(line); parts != nil {
			endPackage(strings.Replace(parts[1], module, ".", 1))
		} else if brokenRun.MatchString(line) {
			verdict.Unknown = append(verdict.Unknown, line)
		}
	}
	if len(failed) > 0 {
		endPackage(pkg)
	}
	return verdict, lines.Err()
}
