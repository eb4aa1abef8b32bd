// Command stand runs one case of the review: the project's daemons as separate processes beside
// stand-ins of the platform's store, of backends and of clients.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	runtime.LockOSThread()
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE DAEMON RECORD")
		os.Exit(failed)
	}
	cases := map[string]func(w *world, trouble bool) (int, error){
		"late-stop":    lateStop,
		"extra-answer": extraAnswer,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(failed)
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code, err := run(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	w.logf("exit %d", code)
	w.close()
	os.Exit(code)
}
