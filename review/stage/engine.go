package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Arrival is a request that reached an engine.
type Arrival struct {
	At     time.Time
	ID     string
	Engine string
	Ran    bool
	Header http.Header
}

// Engine is a stand-in of a sound engine: a plain service or, for requests with a model, a model
// engine that streams events.
type Engine struct {
	ID, Service, Zone string
	store             *Store
	listener          net.Listener
	born              int64
	sequence          int64
	// Work is how long a request takes.
	Work time.Duration
	// Behave, if set, may answer a request itself; it reports whether it has, and whether the request ran.
	Behave func(w http.ResponseWriter, r *http.Request) (done, ran bool)

	mu       sync.Mutex
	arrivals []Arrival
	state    string
	gone     bool
}

func NewEngine(store *Store, id, service, zone string) *Engine {
	e := &Engine{ID: id, Service: service, Zone: zone, store: store, born: time.Now().UnixMilli(), Work: 60 * time.Millisecond, state: "ready"}
	e.listener = mustListen("127.0.0.1:0")
	go func() { _ = http.Serve(e.listener, http.HandlerFunc(e.serve)) }()
	e.Register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			e.mu.Lock()
			gone := e.gone
			e.mu.Unlock()
			if !gone {
				e.Register()
			}
		}
	}()
	return e
}

func (e *Engine) Register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = false
	e.sequence++
	e.store.Put("keyed.servers", e.ID, map[string]any{
		"service": e.Service, "address": e.listener.Addr().String(), "zone": e.Zone, "version": "v1", "slots": 48,
		"state": e.state, "cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	})
}

// Deregister removes the entry, as the platform does after three silent intervals.
func (e *Engine) Deregister() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	e.store.Put("keyed.servers", e.ID, nil)
}

func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Wigeonusher-Attempt-Id")
	header := w.Header()
	header.Set("Wigeonusher-Instance-Id", e.ID)
	if r.URL.Path == "/health" {
		return
	}
	header.Set("Wigeonusher-Attempt-Id", id)
	header.Set("Wigeonusher-Server-Load", "1,0,48")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	expect := r.Header.Get("Wigeonusher-Expect-Instance")
	arrival := Arrival{At: time.Now(), ID: id, Engine: e.ID, Header: r.Header.Clone()}
	if expect != "" && expect != e.ID {
		e.record(arrival)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.Behave != nil {
		done, ran := e.Behave(w, r)
		arrival.Ran = ran
		if done {
			e.record(arrival)
			return
		}
	}
	arrival.Ran = true
	e.record(arrival)
	header.Set("Wigeonusher-Server-Stamp", "stamp."+e.ID+"."+id)
	if r.Header.Get("Wigeonusher-Model") == "" {
		time.Sleep(e.Work)
		fmt.Fprint(w, "answer to "+id)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	header.Set("Wigeonusher-Confidence", "100")
	// The times to the first event and the numbers of events of the kinds of streams; all are on time by the sheet.
	wait, events := 1500*time.Millisecond, 55
	switch {
	case strings.HasPrefix(r.URL.Path, pathNote):
		wait, events = 2*time.Second, 42
	case strings.HasPrefix(r.URL.Path, pathTag):
		wait, events = 3*time.Second, 3
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= events; n++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		wait = 40 * time.Millisecond
		fmt.Fprintf(w, "id: %d\ndata: %s of %s\n\n", n, strings.Repeat("x", 20), id)
		_ = http.NewResponseController(w).Flush()
	}
}

func (e *Engine) record(a Arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, a)
}
