package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryMB    = 284     // limits.memory_mb of the site's machines
	bodyBytes   = 4000000 // below max_body_bytes, 4194304
	calmClients = 20      // with a stream each
	deskClients = 4       // each with one booking after the other, together the 19.9 a second of the site
	deskTime    = 200 * time.Millisecond
	calmEvents  = 120
	calmFirst   = 2 * time.Second // their first event comes at the response-time goal of their kind
	bigEvents   = 100
	eventPause  = 100 * time.Millisecond
	clientWaits = 25 * time.Second
	// The burst is 1.4 times the 18.2 cert-summary requests a second of the site, for 3.2 s: 100 MB a
	// second, below the machine's link of 1,000 Mbit/s. Without it the same requests come one after the
	// other.
	burstSpacing = 40 * time.Millisecond
	calmAfter    = 1500 * time.Millisecond // from the begin of the burst
	calmSpacing  = 800 * time.Millisecond
	burstClients = 80 // as many as the site has
)

type outcome struct {
	attempt string
	passed  bool
	answer  answer
}

// playMemory lets many clients send, in a burst, requests whose bodies are within the operator's limit,
// beside a few calm streams and bookings. Counted as lost are requests from kept channels that an engine
// has read and of whose answer nothing has come when the channel is closed.
func playMemory(r run) bool {
	number := burstClients
	if text := os.Getenv("CLIENTS"); text != "" {
		number, _ = strconv.Atoi(text)
	}
	s := newStore()
	var engines []*engine
	for i := range 4 {
		e := newEngine(fmt.Sprintf("i-model-%d", i), "huvo11a", "bagmati-a", func(w *bufio.Writer, r *http.Request, body []byte) bool {
			events := calmEvents
			if len(body) > 1000 {
				events = bigEvents
			}
			switch {
			case r.URL.Path == "/lohu930/hello":
				events = 1
			case events == calmEvents:
				time.Sleep(calmFirst)
			}
			return sendStream(w, r, events, eventPause)
		})
		engines = append(engines, e)
		s.put("keyed.servers", e.id, e.entry(e.address, 64))
	}
	for i := range 3 {
		e := newEngine(fmt.Sprintf("i-desk-%d", i), "wuno96b", "bagmati-a", func(w *bufio.Writer, r *http.Request, _ []byte) bool {
			time.Sleep(deskTime)
			return sendPlain(w, r, plainBody(r.Header.Get("Wigeonusher-Attempt-Id")))
		})
		engines = append(engines, e)
		s.put("keyed.servers", e.id, e.entry(e.address, 6))
	}
	s.put("keyed.op", "config", config())
	machines := newMachines(r.folder, memoryMB, []string{s.address}, "bagmati-a")
	machines[0].enforce = true
	awaitReady(machines, 4*time.Second)
	big := bytes.Repeat([]byte("p"), bodyBytes)
	var mu sync.Mutex
	var outcomes []outcome
	var group sync.WaitGroup
	client := func(name string, body []byte, start <-chan struct{}, delay time.Duration) {
		defer group.Done()
		c, err := dialChannel(machines[0].front)
		must(err)
		defer c.conn.Close()
		if hello := c.send("POST", "/lohu930/hello", "hello-"+name, []byte("hi"), clientWaits, modelHeaders("aa"+name)...); hello.status != 200 || !hello.complete {
			note("first request of %s: %v", name, hello)
			return
		}
		<-start
		time.Sleep(delay)
		attempt := "work-" + name
		note("sent %s, %d bytes", attempt, len(body))
		got := c.send("POST", "/lohu930/2f", attempt, body, clientWaits, modelHeaders("bb"+name)...)
		runs := 0
		for _, e := range engines {
			runs += e.runs(attempt)
		}
		note("answered %s: %v; engines ran it %d times", attempt, got, runs)
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, outcome{attempt, runs > 0, got})
	}
	var deskEnd atomic.Bool
	deskClient := func(name string) {
		c, err := dialChannel(machines[0].front)
		must(err)
		defer c.conn.Close()
		for n := 0; !deskEnd.Load(); n++ {
			attempt := fmt.Sprintf("desk-%s-%d", name, n)
			got := c.send("POST", "/puxa403/2f", attempt, []byte("cut 12 m of coil"), bookingWaits)
			runs := 0
			for _, e := range engines {
				runs += e.runs(attempt)
			}
			note("answered %s: %v; engines ran it %d times", attempt, got, runs)
			mu.Lock()
			outcomes = append(outcomes, outcome{attempt, runs > 0 && n > 0, got})
			mu.Unlock()
			if got.err != nil {
				return
			}
		}
	}
	calm, burst := make(chan struct{}), make(chan struct{})
	for i := range calmClients {
		group.Add(1)
		go client(fmt.Sprintf("ca%02d", i), []byte("a short body"), calm, time.Duration(i)*burstSpacing)
	}
	for i := range number {
		delay := time.Duration(i) * burstSpacing
		if !r.trouble {
			delay = time.Duration(i) * calmSpacing
		}
		group.Add(1)
		go client(fmt.Sprintf("b%03d", i), big, burst, delay)
	}
	time.Sleep(3 * time.Second)
	var desk sync.WaitGroup
	for i := range deskClients {
		desk.Go(func() { deskClient(fmt.Sprintf("%02d", i)) })
	}
	time.Sleep(time.Second)
	note("%d clients send %d bytes each", number, bodyBytes)
	close(burst)
	time.Sleep(calmAfter)
	close(calm)
	group.Wait()
	deskEnd.Store(true)
	desk.Wait()
	lost, cut, whole := 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.answer.complete:
			whole++
		case o.passed && o.answer.status == 0:
			lost++
		case o.passed:
			cut++
		}
	}
	peak, overruns := machines[0].memory()
	note("peak %.0f MB of %d MB; killed for its memory %d times; %d requests answered whole, %d passed on to a sound engine and closed without an answer, %d more closed within their stream", peak, memoryMB, overruns, whole, lost, cut)
	if len(outcomes) < calmClients+number {
		must(fmt.Errorf("%d of %d clients could begin", len(outcomes), calmClients+number))
	}
	return lost > 3
}
