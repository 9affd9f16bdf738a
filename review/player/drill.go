package main

import (
	"bufio"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drill"] = playDrill }

// The times of the drill, from the confirmation of the config that takes the key away.
const (
	drillCopyAge   = 1 * time.Second         // the copy is from before that config, and 5 s old at the return
	drillStop      = 1200 * time.Millisecond // SIGTERM of one machine of four, which then drains
	drillAway      = 2 * time.Second         // the store goes away, for 2 s
	drillReturn    = 4 * time.Second         // it returns from the copy
	drillAgain     = drillReturn + 2*time.Second
	drillEnd       = drillAgain + 1500*time.Millisecond
	drillClients   = 8                      // in each zone
	drillPause     = 270 * time.Millisecond // together at most the 30.8 requests a second of a zone
	drillFirstEra  = 1
	drillOldConfig = 7
	drillNewConfig = 9
)

// playDrill: a key is taken away, all machines know it. One machine is stopped and started again, as
// planned work. Meanwhile the store is away for a moment and returns from a copy some seconds old, from
// before that config, which the operator then writes again.
func playDrill(r run) bool {
	s := newStore()
	s.era = drillFirstEra
	var engines []*engine
	zones, places := []string{"bagmati-a", "bagmati-b", "bagmati-c"}, []string{"bagmati-a", "bagmati-a", "bagmati-b", "bagmati-c"}
	for i, zone := range zones {
		e := newEngine(fmt.Sprintf("i-desk-%d", i), "wuno96b", zone, func(w *bufio.Writer, request *http.Request, _ []byte) bool {
			return sendPlain(w, request, plainBody(request.Header.Get("Wigeonusher-Attempt-Id")))
		})
		engines = append(engines, e)
		s.put("keyed.servers", e.id, e.entry(e.address, 6))
	}
	const lostKey = "k00z9s989anu6wsjnb"
	put := func(version int, keys ...string) time.Time {
		document := config()
		document["version"] = version
		document["tenants"] = []any{
			map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1},
			map[string]any{"name": "mobi417", "api_keys": append([]string{"k01z9s989anu6wsjnb"}, keys...), "priority": 2},
		}
		s.put("keyed.op", "config", document)
		note("operator: version %d is confirmed; mobi417 has %d keys", version, 1+len(keys))
		return time.Now()
	}
	put(drillOldConfig, lostKey)
	machines := newMachines(r.folder, memoryMB, []string{s.address}, places...)
	awaitReady(machines, revokeLead)
	in := newIngress(machines)
	time.Sleep(time.Second)
	backup := s.backup()
	note("the store is copied")
	var mu sync.Mutex
	var confirmed time.Time
	late, refused, served, beside := 0, 0, 0, 0
	stop := make(chan struct{})
	var group sync.WaitGroup
	for client := range drillClients {
		for _, zone := range zones {
			group.Add(1)
			go func() {
				defer group.Done()
				time.Sleep(time.Duration(client) * drillPause / drillClients)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					at := in.pick(zone)
					m := machines[at]
					c, err := dialChannel(m.front)
					if err != nil {
						time.Sleep(drillPause)
						continue
					}
					attempt := fmt.Sprintf("%s-%d-%05d", zone, client, n)
					sent := time.Now()
					got := c.sendWithKey(lostKey, "POST", "/puxa403/2f", attempt, []byte("cut 12 m of coil"), 2*time.Second)
					c.conn.Close()
					runs := 0
					for _, e := range engines {
						runs += e.runs(attempt)
					}
					mu.Lock()
					after := sent.Sub(confirmed)
					switch {
					case !confirmed.IsZero() && after > revokeMillis*time.Millisecond && runs > 0:
						late++
						note("RAN %s at %s, sent %.3f s after the confirmation: %v; engines ran it %d times", attempt, m.name, after.Seconds(), got, runs)
					case runs > 0:
						served++
						note("ran %s at %s: %v", attempt, m.name, got)
					default:
						refused++
						if at > 0 && !confirmed.IsZero() && after > revokeMillis*time.Millisecond && got.status == http.StatusUnauthorized {
							beside++
						}
						note("refused %s at %s: %v", attempt, m.name, got)
					}
					mu.Unlock()
					time.Sleep(drillPause)
				}
			}()
		}
	}
	time.Sleep(drillCopyAge)
	at := put(drillNewConfig)
	mu.Lock()
	confirmed = at
	mu.Unlock()
	step := func(after time.Duration, do func()) {
		time.Sleep(time.Until(at.Add(after)))
		do()
	}
	step(drillStop, func() {
		note("platform: SIGTERM to %s", machines[0].name)
		machines[0].terminate()
	})
	if r.trouble {
		step(drillAway, func() {
			note("the store is away")
			s.goAway()
		})
		step(drillReturn, func() {
			note("the store returns from the copy")
			s.comeBack(backup)
		})
		step(drillAgain, func() { put(drillNewConfig) })
	}
	step(drillEnd, func() { close(stop) })
	group.Wait()
	in.stop()
	note("requests with the key: %d ran in time, %d refused, %d ran though they were sent more than %d ms after the confirmation; the other machines refused %d with 401 after that time", served, refused, late, revokeMillis, beside)
	if served == 0 || refused == 0 || beside == 0 {
		must(fmt.Errorf("nothing was shown"))
	}
	return late > 0
}
