// Command stand2 plays the cases of the second review. It starts the daemons of the deploy file as
// separate processes on loopback addresses beside stand-ins of the store, of backends, of clients
// and of the platform, and checks one rule from what clients, backends and the platform see.
//
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRun limits a case.
const maxRun = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(*world) bool{"stale": stale, "memory": memory}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() {
		defer func() {
			// The case could not run, as after a setup that failed.
			if r := recover(); r != nil {
				w.note("could not run: %v", r)
				done <- 2
			}
		}()
		if play(w) {
			done <- 1
			return
		}
		done <- 0
	}()
	status := 2
	select {
	case status = <-done:
	case <-interrupted:
	case <-time.After(maxRun):
		w.note("could not run: it took too long")
	}
	w.close()
	os.Exit(status)
}
