package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// playInterim: engines send an interim answer (103) before the final one.
func playInterim(s *Stage) bool {
	s.PutConfig(3, Route("r-book", "/puxa403/", "non_idempotent", "wuno96b", 4000, 300))
	work := func(e *Engine, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Wigeonusher-Server-Stamp", e.Run(r))
		if hasTrouble() {
			w.Header().Set("Link", "</style.css>; rel=preload")
			w.WriteHeader(http.StatusEarlyHints)
		}
		time.Sleep(60 * time.Millisecond)
		_, _ = io.WriteString(w, "booked\n")
	}
	NewEngine(s.Store, "i-desk-1", "wuno96b", "bagmati-a", 6, work)
	NewEngine(s.Store, "i-desk-2", "wuno96b", "bagmati-a", 6, work)
	s.AddEntries(284, "bagmati-a")
	s.AwaitReady()
	wrong := 0
	for n := range 10 {
		answer := Send(s.Entries[0].Client, Request{ID: fmt.Sprintf("b%d", n), Method: http.MethodPost, Path: "/puxa403/2f", Body: "one coil", Timeout: 4 * time.Second})
		s.Record("client got %v %q", answer, answer.Body)
		if answer.Status == 200 && answer.Body != "booked\n" || answer.Status == 502 {
			wrong++
		}
		if n == 0 {
			fmt.Println(answer)
		}
	}
	return wrong > 0
}
