package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const configApply = 2000 * time.Millisecond

// playStale restarts one instance of a zone again and again, as the platform does after a kill, and
// changes the config a moment after each restart. It asks the other instance of the zone, which nothing
// has happened to, by which version it handles requests.
func playStale(s *Stage) bool {
	answer := func(e *Engine, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Wigeonusher-Server-Stamp", e.Run(r))
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, e.Service)
	}
	services := []string{"huvo11a", "wuno96b"}
	config := func(version int) {
		s.PutConfig(version, Route("r-look", "/cufi504/", "idempotent", services[version%2], 4000, 300), Route("r-other", "/puxa403/", "idempotent", services[(version+1)%2], 4000, 300))
	}
	version := 3
	config(version)
	for _, zone := range []string{"bagmati-a", "bagmati-b", "bagmati-c"} {
		for i, service := range services {
			NewEngine(s.Store, fmt.Sprintf("i-%s-%d", zone, i+1), service, zone, 6, answer)
		}
	}
	s.AddEntries(284, "bagmati-a", "bagmati-a", "bagmati-a", "bagmati-a", "bagmati-b", "bagmati-b", "bagmati-c", "bagmati-c", "bagmati-c")
	s.AwaitReady()
	time.Sleep(6 * time.Second)
	killed, asked := s.Entries[5], s.Entries[4]
	late := 0
	delay := time.Duration(envInt("DELAY", 200)) * time.Millisecond
	for round := range envInt("ROUNDS", 10) {
		if hasTrouble() {
			killed.Kill()
			time.Sleep(500 * time.Millisecond)
			s.Start(killed)
		}
		time.Sleep(delay)
		version++
		config(version)
		confirmed := time.Now()
		s.Record("round %d: version %d confirmed; %s was started again before it", round+1, version, killed.Name)
		lastOld := time.Duration(0)
		for n := 0; time.Since(confirmed) < 4500*time.Millisecond; n++ {
			sent := time.Since(confirmed)
			id := fmt.Sprintf("p%d-%d", version, n)
			got := Send(asked.Client, Request{ID: id, Method: http.MethodGet, Path: "/cufi504/2f", Timeout: 4 * time.Second})
			if got.Status == http.StatusOK && got.Body == services[(version+1)%2] {
				lastOld = sent
				if sent > configApply {
					late++
					s.Record("%s was sent to %s %d ms after the confirmation of version %d, and ran at the old service %s", id, asked.Name, sent.Milliseconds(), version, got.Body)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		s.Record("round %d: last request that ran at the old service: sent %d ms after the confirmation", round+1, lastOld.Milliseconds())
		fmt.Printf("round %d: old for %d ms\n", round+1, lastOld.Milliseconds())
		time.Sleep(1500 * time.Millisecond)
	}
	s.Record("%d requests sent later than %d ms after a confirmation ran at the old service", late, configApply.Milliseconds())
	return late > 0
}
