package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["header"] = playHeader }

const (
	stabilityWindow = 3 * time.Second
	cutFor          = 5 * time.Second
	headerClients   = 6 // at each machine
	headerLead      = 6 * time.Second
	pauseBetween    = 195 * time.Millisecond // together at most the 30.8 requests a second of a zone
)

// playHeader partitions one of three machines, each in a zone of its own, from all engines. One client
// of each zone (SENDERS=N: N of them) sends a header with a byte above 127, as names have in ISO 8859-1.
// VARIANT=answer: no client sends it, but the engines' answers have it. HEADER=ascii sends the header
// without such a byte, as a comparison.
func playHeader(r run) bool {
	name := "X-Customer: M\xfcller"
	if os.Getenv("HEADER") == "ascii" {
		name = "X-Customer: Mueller"
	}
	inAnswer := os.Getenv("VARIANT") == "answer"
	senders := 1
	if text := os.Getenv("SENDERS"); text != "" {
		senders, _ = strconv.Atoi(text)
	}
	s := newStore()
	var engines []*engine
	zones := []string{"bagmati-a", "bagmati-b", "bagmati-c"}
	for i, zone := range zones {
		e := newEngine(fmt.Sprintf("i-desk-%d", i), "wuno96b", zone, func(w *bufio.Writer, request *http.Request, _ []byte) bool {
			attempt := request.Header.Get("Wigeonusher-Attempt-Id")
			time.Sleep(serviceTime)
			if inAnswer {
				return sendPlain(w, request, plainBody(attempt), name)
			}
			return sendPlain(w, request, plainBody(attempt))
		})
		engines = append(engines, e)
		s.put("keyed.servers", e.id, e.entry(e.address, 6))
	}
	s.put("keyed.op", "config", config())
	var stores []string
	var cutLinks []*link
	for i := range zones {
		links, rewrite := linksTo(engines)
		address, _ := s.serve(rewrite)
		stores = append(stores, address)
		if i == 0 {
			cutLinks = links
		}
	}
	machines := newMachines(r.folder, memoryMB, stores, zones...)
	awaitReady(machines, headerLead)
	in := newIngress(machines)
	time.Sleep(time.Second)
	begun := time.Now()
	counted := begun.Add(stabilityWindow)
	end := begun.Add(cutFor)
	if r.trouble {
		note("%s is partitioned from all engines", machines[0].name)
		for _, l := range cutLinks {
			l.cut()
		}
	}
	var mu sync.Mutex
	tries, served, ran := make([]int, len(zones)), make([]int, len(zones)), make([]int, len(zones))
	var group sync.WaitGroup
	for _, zone := range zones {
		for client := range headerClients {
			group.Add(1)
			go func() {
				defer group.Done()
				for n := 0; time.Now().Before(end.Add(-500 * time.Millisecond)); n++ {
					attempt := fmt.Sprintf("%s-%d-%d", zone, client, n)
					i := in.pick(zone)
					var headers []string
					if !inAnswer && client < senders {
						headers = append(headers, name)
					}
					sent := time.Now()
					c, err := dialChannel(machines[i].front)
					var got answer
					if err == nil {
						got = c.send("POST", "/puxa403/2f", attempt, []byte("cut 12 m of coil"), bookingWaits, headers...)
						c.conn.Close()
					}
					isServed := err == nil && got.complete && got.status == 200 && got.body == plainBody(attempt)
					runs := 0
					for _, e := range engines {
						runs += e.runs(attempt)
					}
					mu.Lock()
					if sent.After(counted) {
						tries[i]++
						if isServed {
							served[i]++
						} else {
							ran[i] += min(runs, 1)
						}
					}
					if isServed {
						note("served %s at %s: %v", attempt, machines[i].name, got)
					} else {
						note("failed %s at %s: %v; engines ran it %d times", attempt, machines[i].name, got, runs)
					}
					mu.Unlock()
					time.Sleep(pauseBetween)
				}
			}()
		}
	}
	time.Sleep(time.Until(end))
	if r.trouble {
		for _, l := range cutLinks {
			l.heal()
		}
	}
	group.Wait()
	in.stop()
	all, others, othersServed := 0, 0, 0
	for i := range zones {
		all += tries[i]
		if i > 0 {
			others, othersServed = others+tries[i], othersServed+served[i]
		}
		note("at the machine of %s: %d first tries from %v after the cut began, %d served; of the others %d had run", zones[i], tries[i], stabilityWindow, served[i], ran[i])
	}
	if tries[0] == 0 || others == 0 || othersServed == 0 {
		must(fmt.Errorf("nothing was shown"))
	}
	share, othersShare := float64(served[0])/float64(tries[0]), float64(othersServed)/float64(others)
	failed := tries[0] - served[0]
	bound := 10 + float64(all)/50
	note("share served: %.3f at the partitioned machine, %.3f at the others; %d first tries failed there, the bound is %.1f", share, othersShare, failed, bound)
	return share < othersShare*2/3 && float64(failed) > bound
}
