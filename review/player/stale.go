package main

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["stale"] = playStale }

const (
	applyBound    = 2 * time.Second        // config_apply_ms
	rollbackSlack = 250 * time.Millisecond // rollback_slack_ms
	staleClients  = 6                      // in each zone
	stalePause    = 200 * time.Millisecond
	staleStoreCut = 5500 * time.Millisecond // core_cut
	staleCut      = 5 * time.Second         // the machine is partitioned from the engines
	staleLead     = 500 * time.Millisecond  // the cuts begin that long before the config
)

// playStale: the machine of one zone is partitioned from all engines, and that of another zone from the
// store. Meanwhile a config moves two routes to another service: that of bookings, which need a key, and a
// public one of lookups.
func playStale(r run) bool {
	s := newStore()
	zones := []string{"bagmati-a", "bagmati-b", "bagmati-c"}
	places := append(slices.Clone(zones), "bagmati-c") // of the machines
	var engines []*engine
	oldOnes, newOnes := []string{"wuno96b", "zeba41c"}, []string{"pelo23c", "hiku88d"} // of bookings and of lookups
	for _, service := range slices.Concat(oldOnes, newOnes) {
		for i, zone := range zones {
			e := newEngine(fmt.Sprintf("i-%s-%d", service, i), service, zone, func(w *bufio.Writer, request *http.Request, _ []byte) bool {
				time.Sleep(serviceTime)
				return sendPlain(w, request, plainBody(request.Header.Get("Wigeonusher-Attempt-Id")))
			})
			engines = append(engines, e)
			s.put("keyed.servers", e.id, e.entry(e.address, 6))
		}
	}
	put := func(version int, services []string) time.Time {
		document := config()
		document["version"] = version
		for _, name := range []string{"zeba41c", "pelo23c", "hiku88d"} {
			document["services"] = append(document["services"].([]any), map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false})
		}
		bookings, lookups := document["routes"].([]any)[1].(map[string]any), document["routes"].([]any)[2].(map[string]any)
		bookings["service"], lookups["service"], lookups["public"] = services[0], services[1], true
		s.put("keyed.op", "config", document)
		note("operator: version %d is confirmed; bookings go to %s, lookups to %s", version, services[0], services[1])
		return time.Now()
	}
	put(7, oldOnes)
	var stores []string
	var views []*view
	var cutLinks []*link
	for i := range places {
		links, rewrite := linksTo(engines)
		address, v := s.serve(rewrite)
		stores, views = append(stores, address), append(views, v)
		if i == 0 {
			cutLinks = links
		}
	}
	machines := newMachines(r.folder, memoryMB, stores, places...)
	awaitReady(machines, revokeLead)
	in := newIngress(machines)
	time.Sleep(time.Second)
	var mu sync.Mutex
	var confirmed time.Time
	// seen is when an answer of a new service first came through the machine, by kind, and regressed counts the
	// requests that were sent more than rollbackSlack later and ran on the old one.
	seen, regressed := map[string][]time.Time{"booking": make([]time.Time, len(places)), "lookup": make([]time.Time, len(places))}, map[string][]int{"booking": make([]int, len(places)), "lookup": make([]int, len(places))}
	old, changed, failed := make([]int, len(places)), make([]int, len(places)), make([]int, len(places))
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, zone := range zones {
		for client := range staleClients {
			group.Add(1)
			go func() {
				defer group.Done()
				isBooking, kind := client%2 == 0, "lookup"
				if isBooking {
					kind = "booking"
				}
				time.Sleep(time.Duration(client) * stalePause / staleClients)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					at := in.pick(zone)
					attempt := fmt.Sprintf("%s-%s-%d-%d", kind, zone, client, n)
					sent := time.Now()
					c, err := dialChannel(machines[at].front)
					var got answer
					if err == nil {
						if isBooking {
							got = c.send("POST", "/puxa403/2f", attempt, []byte("cut 12 m of coil"), bookingWaits)
						} else {
							got = c.sendWithKey("", "GET", "/stock77/2f", attempt, nil, bookingWaits)
						}
						c.conn.Close()
					}
					ranOld, ranNew := 0, 0
					for _, e := range engines {
						if slices.Contains(oldOnes, e.service) {
							ranOld += e.runs(attempt)
						} else {
							ranNew += e.runs(attempt)
						}
					}
					mu.Lock()
					if ranNew > 0 && seen[kind][at].IsZero() {
						seen[kind][at] = time.Now()
					}
					if ranOld > 0 && !seen[kind][at].IsZero() && sent.Sub(seen[kind][at]) > rollbackSlack {
						regressed[kind][at]++
						note("REGRESSED %s at %s, %.3f s after the new service was seen through it: %v", attempt, machines[at].name, sent.Sub(seen[kind][at]).Seconds(), got)
					}
					isCounted := !confirmed.IsZero() && sent.Sub(confirmed) > applyBound
					switch {
					case isCounted && ranOld > 0:
						old[at]++
						note("OLD %s at %s, sent %.3f s after the confirmation: %v", attempt, machines[at].name, sent.Sub(confirmed).Seconds(), got)
					case isCounted && ranNew > 0:
						changed[at]++
						note("new %s at %s, sent %.3f s after the confirmation: %v", attempt, machines[at].name, sent.Sub(confirmed).Seconds(), got)
					default:
						if isCounted {
							failed[at]++
						}
						note("%s at %s: %v; the old service ran it %d times, the new one %d times", attempt, machines[at].name, got, ranOld, ranNew)
					}
					mu.Unlock()
					time.Sleep(stalePause)
				}
			}()
		}
	}
	if r.trouble {
		note("%s is partitioned from all engines, %s from the store", machines[0].name, machines[1].name)
		for _, l := range cutLinks {
			l.cut()
		}
		views[1].setCut(true)
		time.AfterFunc(staleCut, func() {
			for _, l := range cutLinks {
				l.heal()
			}
		})
		time.AfterFunc(staleStoreCut, func() { views[1].setCut(false) })
	}
	time.Sleep(staleLead)
	at := put(9, newOnes)
	mu.Lock()
	confirmed = at
	mu.Unlock()
	time.Sleep(staleCut - staleLead)
	close(stop)
	group.Wait()
	in.stop()
	for i, m := range machines {
		note("at %s, of the requests sent later than %v after the confirmation: %d ran on the new services, %d on the old ones, %d failed or were refused; %d bookings and %d lookups ran on the old ones more than %v after a new one was seen through this machine", m.name, applyBound, changed[i], old[i], failed[i], regressed["booking"][i], regressed["lookup"][i], rollbackSlack)
	}
	if changed[2] == 0 {
		must(fmt.Errorf("nothing was shown"))
	}
	// The machine that is partitioned from the store is not in touch; its own requests don't count.
	return old[0]+old[2]+old[3]+regressed["booking"][0]+regressed["lookup"][0] > 0
}
