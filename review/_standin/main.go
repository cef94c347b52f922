package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

var cases = map[string]func(trouble bool) int{}

// Child processes are told to end with the thread that started them, so that one must not end.
func init() { runtime.LockOSThread() }

func main() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop
		os.Exit(cannot) // the children end with this process
	}()
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE")
		os.Exit(cannot)
	}
	os.Exit(cases[os.Args[1]](os.Getenv("TROUBLE") != "0"))
}
