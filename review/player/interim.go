package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["interim"] = playInterim }

// The largest dose of the site file for engines that hand out wrong bytes (garble): share = 0.6, x = 0.03.
const (
	garbleShare = 0.6
	garblePart  = 0.03
)

const (
	interimClients  = 12
	interimRequests = 70                     // of each client
	interimPause    = 603 * time.Millisecond // between those of a client: together the site's 19.9 bookings a second
	// Answers are spoiled for garbleFor in each garbleEvery.
	garbleFor    = 5 * time.Second
	garbleEvery  = 7 * time.Second
	interimLead  = 4 * time.Second
	serviceTime  = 60 * time.Millisecond
	bookingWaits = 4 * time.Second
)

// playInterim lets three of five engines of a plain service spoil three answers in a hundred: bytes that
// are not the response come first, an interim head (HTTP status 103) that echoes the attempt and bears the
// engine's proof. By turns, the whole answer, a failure or nothing follows.
func playInterim(r run) bool {
	s := newStore()
	var mu sync.Mutex
	spoiled := map[string]string{} // what followed the interim head
	follows := []string{"the whole answer", "a failure of the engine", "nothing: the engine broke off"}
	var engines []*engine
	begun, number := time.Now(), 5
	bad := int(garbleShare*float64(number) + 0.5)
	for i := range number {
		isBad := r.trouble && i < bad
		e := newEngine(fmt.Sprintf("i-desk-%d", i), "wuno96b", "bagmati-a", func(w *bufio.Writer, request *http.Request, _ []byte) bool {
			attempt := request.Header.Get("Wigeonusher-Attempt-Id")
			if isBad && time.Since(begun)%garbleEvery < garbleFor && rand.Float64() < garblePart {
				mu.Lock()
				next := follows[len(spoiled)%len(follows)]
				spoiled[attempt] = next
				mu.Unlock()
				head(w, "103 Early Hints", request)
				io.WriteString(w, "\r\n")
				w.Flush()
				time.Sleep(serviceTime)
				switch next {
				case follows[1]:
					head(w, "500 Internal Server Error", request, "Content-Length: 0")
					io.WriteString(w, "\r\n")
					return true
				case follows[2]:
					return false
				}
				return sendPlain(w, request, plainBody(attempt))
			}
			time.Sleep(serviceTime)
			return sendPlain(w, request, plainBody(attempt))
		})
		engines = append(engines, e)
		s.put("keyed.servers", e.id, e.entry(e.address, 6))
	}
	s.put("keyed.op", "config", config())
	machines := newMachines(r.folder, memoryMB, []string{s.address}, "bagmati-a")
	awaitReady(machines, interimLead)
	var group sync.WaitGroup
	wrong, whole, failed, spoiledFailures := 0, 0, 0, 0
	for client := range interimClients {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(client) * interimPause / interimClients)
			next := time.Now()
			var c *channel
			for n := range interimRequests {
				attempt := fmt.Sprintf("%02d-%03d", client, n)
				if c == nil {
					var err error
					if c, err = dialChannel(machines[0].front); err != nil {
						note("client %d: %v", client, err)
						return
					}
				}
				got := c.send("POST", "/puxa403/2f", attempt, []byte("cut 12 m of coil"), bookingWaits)
				runs := 0
				for _, e := range engines {
					runs += e.runs(attempt)
				}
				mu.Lock()
				followed, isSpoiled := spoiled[attempt]
				isSuccess := got.complete && got.status >= 200 && got.status < 300
				switch {
				case isSuccess && (got.stamp == "" || got.body != plainBody(attempt) || followed == follows[1]):
					wrong++
					note("WRONG answer to %s: %v, body %q; engines ran it %d times; after the interim head came %s", attempt, got, got.body, runs, followed)
				case isSuccess:
					whole++
					note("answered %s: %v; engines ran it %d times", attempt, got, runs)
				default:
					failed++
					if isSpoiled {
						spoiledFailures++
					}
					note("failed %s: %v; engines ran it %d times", attempt, got, runs)
				}
				mu.Unlock()
				if got.err != nil {
					c.conn.Close()
					c = nil
				}
				next = next.Add(interimPause)
				time.Sleep(time.Until(next))
			}
			if c != nil {
				c.conn.Close()
			}
		}()
	}
	group.Wait()
	note("%d bookings: %d whole answers, %d wrong ones, %d failures (%d of them spoiled); %d answers were spoiled", interimClients*interimRequests, whole, wrong, failed, spoiledFailures, len(spoiled))
	if whole == 0 || r.trouble && len(spoiled) == 0 {
		must(fmt.Errorf("nothing was shown: %d whole answers, %d spoiled", whole, len(spoiled)))
	}
	return wrong > 0
}
