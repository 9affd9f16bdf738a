package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// machineMemoryMB is memory_mb of the sheet. A process that exceeds it is killed.
	machineMemoryMB = 284
	// Each uncontrolled client has one channel: a header inside the limit of the config, then a body in
	// chunks that stops just short of its end.
	uncontrolledChannels = 504
	emptyParts           = 14_000
	trailerNames         = 640
	bodyChunks           = 30
	endsEach             = 3
	mostWaves            = 6
	waveTime             = 12 * time.Second
)

// anonymousMB returns the resident anonymous memory of a process in MiB: without the pages of the
// program's file.
func anonymousMB(pid int) int {
	body, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(body)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// processorTime returns the processor time that a process has used.
func processorTime(pid int) time.Duration {
	body, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(body))
	if len(fields) < 15 {
		return 0
	}
	user, _ := strconv.Atoi(fields[13])
	system, _ := strconv.Atoi(fields[14])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// watchMemory does what the platform does: it kills a process that exceeds its memory, and starts it
// again after a short delay. Only ends for memory count; one that ends by itself is started again too.
func (s *Stage) watchMemory(e *Entry, ends *atomic.Int32, peak *atomic.Int32, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := int32(anonymousMB(e.command.Process.Pid))
		peak.Store(max(peak.Load(), used))
		if e.HasEnded() {
			s.Record("%s: its process has ended by itself, which is not counted", e.Name)
			time.Sleep(500 * time.Millisecond)
			s.Start(e)
			continue
		}
		if used <= machineMemoryMB {
			continue
		}
		s.Record("%s: %d MiB of %d, its process ends; it has used %v of processor time", e.Name, used, machineMemoryMB, processorTime(e.command.Process.Pid))
		e.Kill()
		ends.Add(1)
		time.Sleep(500 * time.Millisecond)
		s.Start(e)
	}
}

// longHeader returns header lines of 16 KB, inside max_header_bytes of the config with the rest of the
// header: a list of empty prompt parts, and the names of many trailers.
func longHeader() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var names []string
	for n := range trailerNames {
		names = append(names, string([]byte{letters[n%len(letters)], letters[n/len(letters)]}))
	}
	return "Wigeonusher-Prompt-Prefix: " + strings.Repeat(",", emptyParts) + "\r\nTrailer: " + strings.Join(names, ",") + "\r\n"
}

// playMemory: clients that nobody controls hold requests with long headers and unfinished bodies at two
// of nine machines.
func playMemory(s *Stage) bool {
	s.PutConfig(3, Route("r-book", "/puxa403/", "non_idempotent", "wuno96b", 4000, 300))
	book := func(e *Engine, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Wigeonusher-Server-Stamp", e.Run(r))
		s.Record("engine %s runs %s", e.ID, r.Header.Get("Wigeonusher-Attempt-Id"))
		time.Sleep(60 * time.Millisecond)
		_, _ = io.WriteString(w, "booked\n")
	}
	for i, zone := range []string{"bagmati-a", "bagmati-b", "bagmati-c"} {
		NewEngine(s.Store, fmt.Sprintf("i-desk-%d", i+1), "wuno96b", zone, 6, book)
	}
	s.AddEntries(machineMemoryMB, "bagmati-a", "bagmati-a", "bagmati-a", "bagmati-a", "bagmati-b", "bagmati-b", "bagmati-c", "bagmati-c", "bagmati-c")
	s.AwaitReady()
	time.Sleep(3 * time.Second)
	attacked := []*Entry{s.Entries[0], s.Entries[6]}
	var ends, peaks [2]atomic.Int32
	stop := make(chan struct{})
	var watchers, callers sync.WaitGroup
	for i, e := range attacked {
		watchers.Go(func() { s.watchMemory(e, &ends[i], &peaks[i], stop) })
	}
	var asked, served, broken atomic.Int32
	for i, e := range s.Entries {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				answer := Send(e.Client, Request{ID: fmt.Sprintf("c%d-%d", i, n), Method: http.MethodPost, Path: "/puxa403/2f", Body: "one coil", Timeout: 4 * time.Second, From: fmt.Sprintf("127.0.0.%d", 20+i)})
				asked.Add(1)
				s.Record("ordinary caller: c%d-%d to %s got %v", i, n, e.Name, answer)
				switch answer.Status {
				case http.StatusOK:
					served.Add(1)
				case 0:
					broken.Add(1)
				}
			}
		})
	}
	if hasTrouble() {
		for wave := range mostWaves {
			if ends[0].Load() >= endsEach && ends[1].Load() >= endsEach {
				break
			}
			s.AwaitReady()
			s.Record("wave %d: %d channels at each of %d machines", wave+1, uncontrolledChannels, len(attacked))
			s.playWave(wave, attacked, ends[:])
		}
	} else {
		time.Sleep(12 * time.Second)
	}
	close(stop)
	callers.Wait()
	watchers.Wait()
	threeEnds := 0
	for i, e := range attacked {
		s.Record("%s: %d ends by memory, at most %d MiB of %d", e.Name, ends[i].Load(), peaks[i].Load(), machineMemoryMB)
		fmt.Printf("%s: %d ends by memory, at most %d MiB of %d\n", e.Name, ends[i].Load(), peaks[i].Load(), machineMemoryMB)
		if ends[i].Load() >= endsEach {
			threeEnds++
		}
	}
	line := fmt.Sprintf("ordinary callers: %d attempts, %d served, %d without an answer", asked.Load(), served.Load(), broken.Load())
	s.Record("%s", line)
	fmt.Println(line)
	return threeEnds >= 2
}

// playWave holds channels of many clients at each of the machines until its process has ended, or until
// the time is over.
func (s *Stage) playWave(wave int, attacked []*Entry, ends []atomic.Int32) {
	var group sync.WaitGroup
	for i, e := range attacked {
		group.Go(func() {
			before := ends[i].Load()
			var mu sync.Mutex
			var conns []net.Conn
			var senders sync.WaitGroup
			for n := range uncontrolledChannels {
				senders.Go(func() {
					conn, err := Dial(e.Client, fmt.Sprintf("127.%d.%d.%d", 1+i, n/200, 10+n%200))
					if err != nil {
						return
					}
					mu.Lock()
					conns = append(conns, conn)
					mu.Unlock()
					_ = conn.SetDeadline(time.Now().Add(waveTime))
					fmt.Fprintf(conn, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nWigeonusher-Attempt-Id: u%d-%d-%03d\r\nWigeonusher-Credential: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n",
						host, wave, i, n, key, longHeader())
					for range bodyChunks {
						if _, err := fmt.Fprintf(conn, "1000\r\n%04096d\r\n", 0); err != nil {
							return
						}
					}
				})
			}
			for end := time.Now().Add(waveTime); time.Now().Before(end) && ends[i].Load() == before; {
				time.Sleep(20 * time.Millisecond)
			}
			senders.Wait()
			mu.Lock()
			defer mu.Unlock()
			s.Record("%s: wave %d opened %d channels, each sent a head of %d bytes in its two long lines and up to %d bytes of a body without its end", e.Name, wave+1, len(conns), len(longHeader()), bodyChunks*4096)
			for _, conn := range conns {
				conn.Close()
			}
		})
	}
	group.Wait()
}
