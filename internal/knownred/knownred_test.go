package knownred

import (
	"strings"
	"testing"
)

const listText = "./internal/group TestExplore: agreement by hand, 54\n"

func parse(t *testing.T, text string) List {
	t.Helper()
	list, err := Parse(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func TestParseRefuses(t *testing.T) {
	for what, text := range map[string]string{
		"no issue":      "./internal/group TestExplore: cause\n",
		"no cause":      "./internal/group TestExplore\n",
		"no package":    "TestExplore: cause, 54\n",
		"an empty line": listText + "\n",
		"listed twice":  listText + listText,
		"four":          listText + strings.ReplaceAll(listText, "Explore", "B") + strings.ReplaceAll(listText, "Explore", "C") + strings.ReplaceAll(listText, "Explore", "D"),
	} {
		if list, err := Parse(strings.NewReader(text)); err == nil {
			t.Errorf("%s: taken as %v", what, list)
		}
	}
}

func TestJudge(t *testing.T) {
	const pkgEnd = "FAIL\tm/internal/group\t1s\n"
	for _, c := range []struct {
		what, output string
		excused      bool
	}{
		{"the listed test", "--- FAIL: TestExplore (1s)\n    x.go:1: why\nFAIL\n" + pkgEnd, true},
		{"a subtest of it", "--- FAIL: TestExplore (1s)\n    --- FAIL: TestExplore/a (1s)\nFAIL\n" + pkgEnd, true},
		{"another beside it", "--- FAIL: TestExplore (1s)\n--- FAIL: TestOther (1s)\nFAIL\n" + pkgEnd, false},
		{"one of the same name elsewhere", "--- FAIL: TestExplore (1s)\nFAIL\nFAIL\tm/internal/lease\t1s\n", false},
		{"one whose name begins alike", "--- FAIL: TestExploreMore (1s)\nFAIL\n" + pkgEnd, false},
		{"a panic in it", "--- FAIL: TestExplore (1s)\npanic: x [recovered]\n" + pkgEnd, false},
		{"a timeout in it", "panic: test timed out after 1s\n" + pkgEnd, false},
		{"a data race in it", "WARNING: DATA RACE\n--- FAIL: TestExplore (1s)\n" + pkgEnd, false},
		{"a build that fails", "FAIL\tm/internal/group [build failed]\n", false},
		{"a linter's finding", "x.go:1: unused\n", false},
		{"a test binary's own output", "--- FAIL: TestExplore (1s)\nFAIL\n", true},
	} {
		verdict, err := parse(t, listText).Judge(strings.NewReader(c.output), "m", "./internal/group")
		if err != nil || verdict.Excused() != c.excused {
			t.Errorf("%s: %+v, %v", c.what, verdict, err)
		}
	}
}
