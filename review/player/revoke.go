package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["revoke"] = playRevoke }

const (
	// The site file's largest doses: the store turns some machines away (share 0.35, here one of three)
	// for 9 s; big_config adds 350 routes, here twice; revoke takes 3 keys away, 0.1 s apart, here
	// seven times.
	turnedAwayFor = 9 * time.Second
	moreRoutes    = 2 * 350
	keysAtOnce    = 3
	keysApart     = 100 * time.Millisecond

	revokeMillis  = 5000
	revokeLead    = 6 * time.Second
	revokeClients = 12
	revokePause   = 390 * time.Millisecond // together the 30.8 requests a second of the zone
	revokeBursts  = 7
)

// playRevoke: the store turns one of three machines away, and serves the others and the operator.
// Meanwhile keys are taken away, so that more configs wait for the machine than one read brings.
func playRevoke(r run) bool {
	s := newStore()
	var engines []*engine
	zones := []string{"bagmati-a", "bagmati-b", "bagmati-c"}
	for i, zone := range zones {
		e := newEngine(fmt.Sprintf("i-desk-%d", i), "wuno96b", zone, func(w *bufio.Writer, request *http.Request, _ []byte) bool {
			return sendPlain(w, request, plainBody(request.Header.Get("Wigeonusher-Attempt-Id")))
		})
		engines = append(engines, e)
		s.put("keyed.servers", e.id, e.entry(e.address, 60))
	}
	var keys []string
	for i := range revokeBursts * keysAtOnce {
		keys = append(keys, fmt.Sprintf("k%02dz9s989anu6wsjnb", i))
	}
	lastKey := keys[len(keys)-1]
	version, revoked := 7, 0
	put := func() time.Time {
		document := config()
		document["version"] = version
		version += 2
		routes := document["routes"].([]any)
		for i := range moreRoutes {
			routes = append(routes, map[string]any{
				"name": fmt.Sprintf("r-more%04d", i), "host": host, "path_prefix": fmt.Sprintf("/more%04d/", i), "kind": "idempotent", "timeout_ms": 2000,
				"target_latency_ms": 300, "priority": 2, "service": "wuno96b", "max_attempts": 2, "public": false, "session_affinity": false, "stream_resume": false,
			})
		}
		document["routes"] = routes
		document["tenants"] = []any{
			map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1},
			map[string]any{"name": "mobi417", "api_keys": keys[revoked:], "priority": 2},
		}
		encoded, err := json.Marshal(document)
		must(err)
		s.put("keyed.op", "config", document)
		note("operator: version %d, %d bytes, %d keys of mobi417 left", version-2, len(encoded), len(keys)-revoked)
		return time.Now()
	}
	put()
	var stores []string
	var views []*view
	for range zones {
		address, v := s.serve(nil)
		stores, views = append(stores, address), append(views, v)
	}
	machines := newMachines(r.folder, memoryMB, stores, zones...)
	awaitReady(machines, revokeLead)
	begun := time.Now()
	if r.trouble {
		note("the store turns %s away", machines[0].name)
		views[0].turnedAway.Store(true)
	}
	var mu sync.Mutex
	var confirmed time.Time // of the config that takes lastKey away
	go func() {
		time.Sleep(300 * time.Millisecond)
		for range revokeBursts {
			for range keysAtOnce {
				revoked++
				at := put()
				if revoked == len(keys) {
					mu.Lock()
					confirmed = at
					mu.Unlock()
				}
				time.Sleep(keysApart)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	time.AfterFunc(turnedAwayFor, func() {
		note("the store serves %s again", machines[0].name)
		views[0].turnedAway.Store(false)
	})
	end := begun.Add(turnedAwayFor + 2500*time.Millisecond)
	var group sync.WaitGroup
	late, refused, served := 0, 0, 0
	for client := range revokeClients {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(client) * revokePause / revokeClients)
			var c *channel
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					var err error
					if c, err = dialChannel(machines[0].front); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				attempt := fmt.Sprintf("%02d-%05d", client, n)
				sent := time.Now()
				got := c.sendWithKey(lastKey, "GET", "/stock77/2f", attempt, nil, 2*time.Second)
				runs := 0
				for _, e := range engines {
					runs += e.runs(attempt)
				}
				mu.Lock()
				after := sent.Sub(confirmed)
				isLate := !confirmed.IsZero() && after > revokeMillis*time.Millisecond
				switch {
				case isLate && runs > 0:
					late++
					note("RAN %s, sent %.3f s after the confirmation: %v; engines ran it %d times", attempt, after.Seconds(), got, runs)
				case got.status == 200:
					served++
					note("served %s: %v; engines ran it %d times", attempt, got, runs)
				default:
					refused++
					note("refused %s: %v; engines ran it %d times", attempt, got, runs)
				}
				mu.Unlock()
				if got.err != nil {
					c.conn.Close()
					c = nil
				}
				time.Sleep(revokePause)
			}
			if c != nil {
				c.conn.Close()
			}
		}()
	}
	group.Wait()
	note("requests with the key: %d served in time, %d refused, %d ran though they were sent more than %d ms after the confirmation", served, refused, late, revokeMillis)
	if served == 0 || refused == 0 {
		must(fmt.Errorf("nothing was shown"))
	}
	return late > 0
}
