package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["grey"] = playGrey }

// The largest dose of the site file for engines that fail part of their requests (srv_grey): 0.14 of
// the engines, here one of eight, fail 0.45 of their requests for 6.5 s.
const (
	greyPart = 0.45
	greyFor  = 6500 * time.Millisecond

	// greyClients send together fewer requests a second than the site has in its largest burst (1.7
	// times 107); the engines have places for more.
	greyClients = 30
	greyWork    = 150 * time.Millisecond
)

// playGrey lets one engine of a plain service run part of its requests and then fail with 503, without
// the header that says that it has not run them.
func playGrey(r run) bool {
	s := newStore()
	var mu sync.Mutex
	ranBookings := map[string]int{} // by the number of the booking, which a client's retries share
	var greyUntil time.Time
	var engines []*engine
	for i := range 8 {
		e := newEngine(fmt.Sprintf("i-desk-%d", i), "wuno96b", "bagmati-a", func(w *bufio.Writer, request *http.Request, body []byte) bool {
			attempt := request.Header.Get("Wigeonusher-Attempt-Id")
			mu.Lock()
			ranBookings[string(body)]++
			fails := i == 0 && time.Now().Before(greyUntil) && rand.Float64() < greyPart
			mu.Unlock()
			time.Sleep(greyWork)
			if fails {
				head(w, "503 Service Unavailable", request, "Content-Length: 0")
				io.WriteString(w, "\r\n")
				return true
			}
			return sendPlain(w, request, plainBody(attempt))
		})
		engines = append(engines, e)
		s.put("keyed.servers", e.id, e.entry(e.address, 6))
	}
	s.put("keyed.op", "config", config())
	machines := newMachines(r.folder, memoryMB, []string{s.address}, "bagmati-a")
	awaitReady(machines, interimLead)
	if r.trouble {
		mu.Lock()
		greyUntil = time.Now().Add(greyFor)
		mu.Unlock()
	}
	end := time.Now().Add(greyFor)
	var group sync.WaitGroup
	sent, whole, falsePromises := 0, 0, 0
	for client := range greyClients {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; time.Now().Before(end); n++ {
				booking := fmt.Sprintf("booking %02d-%03d", client, n)
				for try := range 2 { // a client repeats a booking once, and only after a promise
					attempt := fmt.Sprintf("%02d-%03d-%d", client, n, try)
					c, err := dialChannel(machines[0].front)
					must(err)
					got := c.send("POST", "/puxa403/2f", attempt, []byte(booking), bookingWaits)
					c.conn.Close()
					runs := 0
					for _, e := range engines {
						runs += e.runs(attempt)
					}
					isPromise := got.complete && (got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421)
					mu.Lock()
					sent++
					switch {
					case isPromise && runs > 0:
						falsePromises++
						note("FALSE PROMISE to %s (%s): %v; engines ran it %d times", attempt, booking, got, runs)
					case got.complete && got.status == 200:
						whole++
						note("answered %s (%s): %v; engines ran it %d times", attempt, booking, got, runs)
					default:
						note("failed %s (%s): %v; engines ran it %d times", attempt, booking, got, runs)
					}
					mu.Unlock()
					if !isPromise {
						break
					}
					pause, _ := strconv.ParseFloat(got.retryAfter, 64)
					time.Sleep(time.Duration(pause * float64(time.Second)))
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for booking, runs := range ranBookings {
		if runs > 1 {
			twice++
			note("%s ran %d times", booking, runs)
		}
	}
	note("%d attempts: %d whole answers, %d answered with a promise that they have not run though they have; %d bookings ran more than once", sent, whole, falsePromises, twice)
	if whole == 0 {
		must(fmt.Errorf("nothing was shown"))
	}
	return falsePromises > 0
}
