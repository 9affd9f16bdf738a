// Command player plays the cases of the review that are no days of the bench: it starts the project's
// own program with the command of the deploy file, between stand-ins of the store, of engines, of
// clients and of the platform, on loopback addresses and the real clock.
//
// Usage, in the root of the repository: player CASE RECORD. It exits with 1 if the rule was broken, with
// 0 if it held and with 2 if the case could not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// longest bounds a play.
const longest = 110 * time.Second

// run is one play of a case.
type run struct {
	folder  string
	trouble bool
}

var (
	recordMu sync.Mutex
	record   *os.File
	started  = time.Now()
)

// note writes a line into the record.
func note(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%7.3f "+format+"\n", append([]any{time.Since(started).Seconds()}, values...)...)
}

// must ends the play if there is an error. It may be called from any goroutine.
func must(err error) {
	if err != nil {
		cannotRun(err)
	}
}

// folder is the temporary folder of the play.
var (
	folder    string
	endMu     sync.Mutex
	isPlaying = true
)

// cannotRun ends a play that could not run, with its processes and its folder.
func cannotRun(err error) {
	endMu.Lock() // it is never released: the first caller ends the program
	if !isPlaying {
		select {}
	}
	note("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	end()
	os.RemoveAll(folder)
	os.Exit(2)
}

// atEnd holds what must be done before the program exits.
var (
	atEndMu sync.Mutex
	atEnd   []func()
)

func later(end func()) {
	atEndMu.Lock()
	defer atEndMu.Unlock()
	atEnd = append(atEnd, end)
}

// end ends all processes that the play has started.
func end() {
	atEndMu.Lock()
	defer atEndMu.Unlock()
	for i := len(atEnd) - 1; i >= 0; i-- {
		atEnd[i]()
	}
	atEnd = nil
}

var cases = map[string]func(run) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: player CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(one func(run) bool, path string) (code int) {
	var err error
	if record, err = os.Create(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	if folder, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupts:
		case <-time.After(longest):
		}
		cannotRun(errors.New("the play was ended before its time"))
	}()
	broken := one(run{folder: folder, trouble: os.Getenv("TROUBLE") != "0"})
	endMu.Lock()
	isPlaying = false
	endMu.Unlock()
	end()
	os.RemoveAll(folder)
	if broken {
		note("verdict: the rule was broken")
		return 1
	}
	note("verdict: the rule held")
	return 0
}
