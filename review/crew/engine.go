package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Engine is a stand-in of an engine or a plain service. It registers itself, checks whom a request
// expects, and passes the rest to its handler.
type Engine struct {
	ID, Service, Zone, Address string
	Slots                      int
	store                      *Store
	server                     *http.Server
	born                       int64
	// Handle answers a request. It calls Run when it begins to work on it.
	Handle func(e *Engine, w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	sequence int64
	arrivals []Arrival
}

// Arrival is a request that reached an engine.
type Arrival struct {
	At      time.Time
	Request string
	// Ran reports that the engine began to work on it.
	Ran bool
}

// NewEngine starts an engine and registers it.
func NewEngine(store *Store, id, service, zone string, slots int, handle func(*Engine, http.ResponseWriter, *http.Request)) *Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("engine: %v", err)
	}
	e := &Engine{
		ID: id, Service: service, Zone: zone, Address: listener.Addr().String(), Slots: slots, store: store, Handle: handle,
		born: time.Now().UnixMilli(),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	e.register()
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for range ticker.C {
			e.register()
		}
	}()
	return e
}

// register writes the engine's entry.
func (e *Engine) register() {
	e.mu.Lock()
	e.sequence++
	entry := map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": e.Slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	e.mu.Unlock()
	e.store.Put("keyed.servers", e.ID, entry)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Wigeonusher-Instance-Id", e.ID)
		return
	}
	if expected := r.Header.Get("Wigeonusher-Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("Wigeonusher-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Wigeonusher-Attempt-Id", r.Header.Get("Wigeonusher-Attempt-Id"))
	e.Handle(e, w, r)
}

// Run records that the engine begins to work on a request, and returns the stamp of its answer.
func (e *Engine) Run(r *http.Request) string {
	e.record(r, true)
	return fmt.Sprintf("%s.%s", e.ID, r.Header.Get("Wigeonusher-Attempt-Id"))
}

func (e *Engine) record(r *http.Request, ran bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, Arrival{At: time.Now(), Request: r.Header.Get("Wigeonusher-Attempt-Id"), Ran: ran})
}

// Arrivals returns the requests that have reached the engine.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}
