package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// timeLimit ends a case that hangs. All processes end with the rig.
const timeLimit = 115 * time.Second

var cases = map[string]func(folder string) (*rig, error){}

func main() {
	if len(os.Args) != 2 || cases[filepath.Base(os.Args[1])] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 review/N")
		os.Exit(cannotRun)
	}
	folder := os.Args[1]
	time.AfterFunc(timeLimit, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(cannotRun)
	})
	g, err := cases[filepath.Base(folder)](folder)
	if g != nil {
		g.close()
	}
	switch {
	case err != nil:
		if g != nil {
			g.rec.write("cannot run: %v", err)
		}
		fmt.Fprintln(os.Stderr, errors.Join(errCannotRun, err))
		os.Exit(cannotRun)
	case len(g.violations) > 0:
		fmt.Printf("broken: %s (%d in all)\n", g.violations[0], len(g.violations))
		os.Exit(ruleBroken)
	}
	fmt.Println("held")
	os.Exit(ruleHeld)
}
