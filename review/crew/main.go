// Command crew plays the cases of this review: it holds the stand-ins of the platform's log, of
// engines and of clients, and starts the project's own programs as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// plays are the cases by name. Each reports whether the rule was broken.
var plays = map[string]func(*Stage) bool{
	"memory":  playMemory,
	"refused": playRefused,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: crew CASE RECORD, in the repository's root")
		os.Exit(2)
	}
	stage := NewStage(os.Args[2])
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		cannotRun("stopped")
	}()
	isBroken := plays[os.Args[1]](stage)
	if isBroken {
		stage.Record("the rule was broken")
		fmt.Println("the rule was broken")
	} else {
		stage.Record("the rule held")
		fmt.Println("the rule held")
	}
	stage.Close()
	if isBroken {
		os.Exit(1)
	}
}
