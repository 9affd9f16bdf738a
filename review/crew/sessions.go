package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	sessionChannels = 8
	sessionBytes    = 15_700
	sessionTime     = 90 * time.Second
)

// playSessions: one client that nobody controls sends ordinary requests to each of two of nine machines, one
// after the other on a few channels, each in a session of its own with a long name.
func playSessions(s *Stage) bool {
	s.PutConfig(3, Route("r-look", "/cufi504/", "idempotent", "wuno96b", 4000, 300))
	look := func(e *Engine, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Wigeonusher-Server-Stamp", e.Run(r))
		_, _ = io.WriteString(w, "found\n")
	}
	for i, zone := range []string{"bagmati-a", "bagmati-b", "bagmati-c"} {
		NewEngine(s.Store, fmt.Sprintf("i-desk-%d", i+1), "wuno96b", zone, 6, look)
	}
	s.AddEntries(machineMemoryMB, "bagmati-a", "bagmati-a", "bagmati-a", "bagmati-a", "bagmati-b", "bagmati-b", "bagmati-c", "bagmati-c", "bagmati-c")
	s.AwaitReady()
	time.Sleep(3 * time.Second)
	attacked := []*Entry{s.Entries[0], s.Entries[6]}
	var ends, peaks, served, lost [2]atomic.Int32
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, e := range attacked {
		group.Go(func() { s.watchMemory(e, &ends[i], &peaks[i], stop) })
		for c := range sessionChannels {
			group.Go(func() { s.sendSessions(e, fmt.Sprintf("s%d-%d", i, c), &served[i], &lost[i], stop) })
		}
	}
	length := sessionTime
	if !hasTrouble() {
		length = 20 * time.Second
	}
	for end := time.Now().Add(length); time.Now().Before(end) && (ends[0].Load() < endsEach || ends[1].Load() < endsEach); {
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	threeEnds := 0
	for i, e := range attacked {
		line := fmt.Sprintf("%s: %d ends by memory, at most %d MiB of %d; %d requests served, %d without an answer",
			e.Name, ends[i].Load(), peaks[i].Load(), machineMemoryMB, served[i].Load(), lost[i].Load())
		s.Record("%s", line)
		fmt.Println(line)
		if ends[i].Load() >= endsEach {
			threeEnds++
		}
	}
	return threeEnds >= 2
}

// sendSessions sends requests one after the other on one channel, and opens another one when it ends.
func (s *Stage) sendSessions(e *Entry, name string, served, lost *atomic.Int32, stop <-chan struct{}) {
	for n := 0; ; {
		conn, err := Dial(e.Client, "127.1.0.9")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
		for reader := bufio.NewReader(conn); err == nil; n++ {
			select {
			case <-stop:
				conn.Close()
				return
			default:
			}
			session := fmt.Sprintf("%s-%d", name, n)
			if hasTrouble() {
				session += strings.Repeat("s", sessionBytes)
			}
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprintf(conn, "GET /cufi504/2f HTTP/1.1\r\nHost: %s\r\nWigeonusher-Attempt-Id: %s-%d\r\nWigeonusher-Credential: %s\r\nWigeonusher-Deadline-Remaining-Ms: 4000\r\nSession: %s\r\n\r\n", host, name, n, key, session)
			var response *http.Response
			if response, err = http.ReadResponse(reader, nil); err != nil {
				lost.Add(1)
				break
			}
			_, _ = io.Copy(io.Discard, response.Body)
			if response.StatusCode == http.StatusOK {
				served.Add(1)
			}
		}
		if conn != nil {
			conn.Close()
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}
