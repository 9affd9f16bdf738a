package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	failingShare = 0.45
	// failingFrom and failingFor are the time of the disruption since the first booking.
	failingFrom = 2 * time.Second
	failingFor  = 6500 * time.Millisecond
	bookings    = 240
	clump       = 12
)

// isPromise reports whether a status says that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// playRefused books while one of three engines fails a part of its requests after it has run them.
// Its failures have its stamp and no Not-Executed. Clients keep to the promises of the pages.
func playRefused(s *Stage) bool {
	s.PutConfig(3, Route("r-book", "/puxa403/", "non_idempotent", "wuno96b", 4000, 300))
	var began atomic.Int64
	isFailing := func() bool {
		since := time.Since(time.UnixMilli(began.Load()))
		return hasTrouble() && since >= failingFrom && since < failingFrom+failingFor
	}
	work := func(isGrey bool) func(*Engine, http.ResponseWriter, *http.Request) {
		return func(e *Engine, w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Wigeonusher-Server-Stamp", e.Run(r))
			time.Sleep(60 * time.Millisecond)
			status := http.StatusOK
			if isGrey && isFailing() && rand.Float64() < failingShare {
				status = http.StatusServiceUnavailable
			}
			s.Record("engine %s ran %s and answers %d", e.ID, r.Header.Get("Wigeonusher-Attempt-Id"), status)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "booked or not\n")
		}
	}
	zones := []string{"bagmati-a", "bagmati-b", "bagmati-c"}
	var engines []*Engine
	for i, zone := range zones {
		engines = append(engines, NewEngine(s.Store, fmt.Sprintf("i-desk-%d", i+1), "wuno96b", zone, 6, work(i == 0)))
	}
	s.AddEntries(284, zones...)
	s.AwaitReady()
	time.Sleep(3 * time.Second)
	began.Store(time.Now().UnixMilli())
	var mu sync.Mutex
	answers := make(map[string]Answer)
	var group sync.WaitGroup
	for n := range bookings {
		group.Go(func() {
			for try := 1; try <= 2; try++ {
				id := fmt.Sprintf("b%03d-%d", n, try)
				answer := Send(s.Entries[(n+try)%len(s.Entries)].Client, Request{ID: id, Method: http.MethodPost, Path: "/puxa403/2f", Body: "one coil", Timeout: 4 * time.Second})
				s.Record("client: %s got %v", id, answer)
				mu.Lock()
				answers[id] = answer
				mu.Unlock()
				if !isPromise(answer.Status) {
					return
				}
			}
		})
		if n%clump == clump-1 {
			time.Sleep(600 * time.Millisecond) // 20 a second, as on the sheet
		}
	}
	group.Wait()
	ran := make(map[string]bool)
	for _, e := range engines {
		for _, arrival := range e.Arrivals() {
			ran[arrival.Request] = true
		}
	}
	broken, twice, served := 0, 0, 0
	for id, answer := range answers {
		if answer.Status == http.StatusOK {
			served++
		}
		if !isPromise(answer.Status) || !ran[id] {
			continue
		}
		broken++
		if ran[id[:len(id)-1]+"2"] && id[len(id)-1] == '1' {
			twice++
		}
	}
	s.Record("%d attempts, %d served; %d were answered with a promise that they had not run, and had run; %d bookings were so sent again and ran again", len(answers), served, broken, twice)
	fmt.Printf("%d attempts, %d served; REFUSED: %d answered with a promise had run; %d bookings ran again after it\n", len(answers), served, broken, twice)
	return broken > 0
}
