package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	gatewayChannels = 24
	newcomers       = 20
	// Each uncontrolled client has few channels; all of them together take what the gateway leaves.
	uncontrolledClients = 260
	channelsPerClient   = 2
)

// playTable: an ordinary caller with several kept channels has requests running, while clients that
// nobody controls hold bodies that stop just short of their end, and other ordinary clients come.
func playTable(s *Stage) bool {
	s.PutConfig(3,
		Route("r-summary", "/lohu930/", "stream", "huvo11a", 25000, 2000),
		Route("r-book", "/puxa403/", "non_idempotent", "wuno96b", 4000, 300))
	summary := func(e *Engine, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		stamp := e.Run(r)
		if r.Header.Get("Wigeonusher-Token-Counts") != "100,4" { // long prompts take long to read
			select {
			case <-time.After(3500 * time.Millisecond):
			case <-r.Context().Done():
				s.Record("engine %s: the channel of %s was closed at work", e.ID, r.Header.Get("Wigeonusher-Attempt-Id"))
				return
			}
		}
		w.Header().Set("Wigeonusher-Server-Stamp", stamp)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 4; i++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}
	book := func(e *Engine, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Wigeonusher-Server-Stamp", e.Run(r))
		time.Sleep(60 * time.Millisecond)
		_, _ = io.WriteString(w, "booked\n")
	}
	pool := []*Engine{
		NewEngine(s.Store, "i-pool-1", "huvo11a", "bagmati-a", 64, summary), NewEngine(s.Store, "i-pool-2", "huvo11a", "bagmati-a", 64, summary),
	}
	NewEngine(s.Store, "i-desk-1", "wuno96b", "bagmati-a", 6, book)
	NewEngine(s.Store, "i-desk-2", "wuno96b", "bagmati-a", 6, book)
	s.AddEntries(284, "bagmati-a")
	s.AwaitReady()
	address := s.Entries[0].Client

	// The gateway's channels have carried a request each.
	channels := make([]net.Conn, gatewayChannels)
	for i := range channels {
		conn, err := Dial(address, "127.0.0.2")
		if err != nil {
			cannotRun("%v", err)
		}
		defer conn.Close()
		channels[i] = conn
		first := SendOn(conn, Request{ID: fmt.Sprintf("g%02d-1", i), Method: http.MethodPost, Path: "/lohu930/2f", Body: "short", Timeout: 20 * time.Second, Header: map[string]string{"Wigeonusher-Token-Counts": "100,4"}})
		if !first.Complete || first.Status != http.StatusOK {
			cannotRun("first request of the gateway: %v", first)
		}
	}
	answers := make([]Answer, gatewayChannels)
	var group sync.WaitGroup
	for i, conn := range channels {
		group.Go(func() {
			id := fmt.Sprintf("g%02d-2", i)
			answers[i] = SendOn(conn, Request{ID: id, Method: http.MethodPost, Path: "/lohu930/2f", Body: "long sheet", Timeout: 20 * time.Second, Header: map[string]string{"Wigeonusher-Token-Counts": "12000,64"}})
			s.Record("gateway: %s got %v", id, answers[i])
		})
	}
	time.Sleep(300 * time.Millisecond)
	held := 0
	if hasTrouble() {
		held = s.holdBodies(address)
		s.Record("%d channels with bodies that stop just short of their end", held)
	}
	time.Sleep(200 * time.Millisecond)
	var served atomic.Int32
	for n := range newcomers {
		group.Go(func() {
			id := fmt.Sprintf("n%02d", n)
			answer := Send(address, Request{ID: id, Method: http.MethodPost, Path: "/puxa403/2f", Body: "one coil", Timeout: 4 * time.Second, From: fmt.Sprintf("127.2.0.%d", 10+n)})
			if answer.Status == http.StatusOK {
				served.Add(1)
			}
			s.Record("another client: %s got %v", id, answer)
		})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	ran := make(map[string]bool)
	for _, e := range pool {
		for _, arrival := range e.Arrivals() {
			ran[arrival.Request] = true
		}
	}
	lost, whole := 0, 0
	for i, answer := range answers {
		switch {
		case answer.Complete && answer.Status == http.StatusOK:
			whole++
		case answer.Status == 0 && ran[fmt.Sprintf("g%02d-2", i)]:
			lost++
		}
	}
	line := fmt.Sprintf("gateway: %d requests on kept channels, %d answered, %d passed on to a sound engine and closed without an answer (more than 3 break LOST); %d of %d newcomers served; %d bodies held",
		gatewayChannels, whole, lost, served.Load(), newcomers, held)
	s.Record("%s", line)
	fmt.Println(line)
	return lost > 3
}

// holdBodies opens channels of many clients, each with a chunked body that stops just short of its end.
func (s *Stage) holdBodies(address string) (held int) {
	for n := range uncontrolledClients {
		from := fmt.Sprintf("127.1.%d.%d", n/200, 10+n%200)
		for c := range channelsPerClient {
			conn, err := Dial(address, from)
			if err != nil {
				continue
			}
			fmt.Fprintf(conn, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nWigeonusher-Attempt-Id: u%03d-%d\r\nWigeonusher-Credential: %s\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n%01024d\r\n", host, n, c, key, 0)
			held++
			go func() {
				defer conn.Close()
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}
	return held
}
