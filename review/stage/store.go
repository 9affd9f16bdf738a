package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store with keyed topics of one partition: the
// calls log-newest, log-read and log-append, as PROTOCOL.md describes them.
type Store struct {
	listener net.Listener
	mu       sync.Mutex
	topics   map[string]*topic
	changed  chan struct{}
}

type topic struct {
	records [][]byte
	newest  map[string]newest
}

type newest struct {
	value  []byte
	offset uint64
}

func NewStore() *Store {
	s := &Store{topics: map[string]*topic{}, changed: make(chan struct{})}
	s.listener = mustListen("127.0.0.1:0")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	go func() { _ = http.Serve(s.listener, mux) }()
	return s
}

func (s *Store) Address() string { return s.listener.Addr().String() }

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newest{}}
		s.topics[name] = t
	}
	return t
}

// Put appends a record; a nil value removes the key.
func (s *Store) Put(name, key string, value any) {
	var encoded []byte
	if value != nil {
		encoded, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), encoded...))
}

func (s *Store) append(name string, content []byte) {
	t := s.topic(name)
	size := int(content[0])
	key, value := string(content[1:1+size]), content[1+size:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newest{value: value, offset: uint64(len(t.records))}
	}
	t.records = append(t.records, content)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.FormValue("topic"))
	items := []map[string]any{}
	for key, n := range t.newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(n.value), "offset": n.offset})
	}
	answer := map[string]any{"items": items, "truncated": false, "end_offset": len(t.records)}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		available, changed := len(s.topic(r.FormValue("topic")).records) > from, s.changed
		s.mu.Unlock()
		if available {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	records := s.topic(r.FormValue("topic")).records
	page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, record := range records[min(from, len(records)):] {
		page = binary.BigEndian.AppendUint32(page, uint32(len(record)))
		page = append(page, record...)
	}
	s.mu.Unlock()
	_, _ = w.Write(page)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		http.Error(w, "bad record", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.FormValue("topic"))
	end := len(t.records)
	if at := r.FormValue("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"end_offset": end})
		return
	}
	for rest := body; len(rest) >= 4; {
		size := int(binary.BigEndian.Uint32(rest))
		if size < 1 || size > len(rest)-4 || int(rest[4]) > size-1 {
			http.Error(w, "bad record", http.StatusBadRequest)
			return
		}
		s.append(r.FormValue("topic"), append([]byte(nil), rest[4:4+size]...))
		rest = rest[4+size:]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": end, "end_offset": len(t.records)})
}
