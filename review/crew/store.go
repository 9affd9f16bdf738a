package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeTopic is a keyed topic: its records, and the newest one of each key.
type storeTopic struct {
	records [][]byte
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int
}

// Store is a stand-in of the platform's log: topics with one partition, reads that wait, and
// appends with a condition.
type Store struct {
	Address string
	server  *http.Server

	mu      sync.Mutex
	topics  map[string]*storeTopic
	changed chan struct{}
}

// NewStore starts a store.
func NewStore() *Store {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s := &Store{
		Address: listener.Addr().String(), topics: make(map[string]*storeTopic), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: make(map[string]newestRecord)}
		s.topics[name] = t
	}
	return t
}

// Put writes a record as the operator or an engine does; nil removes the key.
func (s *Store) Put(topic, key string, value any) {
	var encoded []byte
	if value != nil {
		encoded, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.topic(topic), append(append([]byte{byte(len(key))}, key...), encoded...))
}

func (s *Store) append(t *storeTopic, record []byte) {
	keyEnd := 1 + int(record[0])
	key, value := string(record[1:keyEnd]), record[keyEnd:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newestRecord{value: value, offset: len(t.records)}
	}
	t.records = append(t.records, record)
	s.wake()
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	t := s.topic(r.URL.Query().Get("topic"))
	answer := struct {
		Items []item `json:"items"`
		More  bool   `json:"truncated"`
		End   int    `json:"end_offset"`
	}{Items: []item{}, End: len(t.records)}
	after := r.URL.Query().Get("after")
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if after != "" && key <= after {
			continue
		}
		if len(answer.Items) == 500 {
			answer.More = true
			break
		}
		answer.Items = append(answer.Items, item{key, base64.StdEncoding.EncodeToString(t.newest[key].value), t.newest[key].offset})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		if from > len(t.records) {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":0}`)
			return
		}
		if from < len(t.records) || isOver {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range t.records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := len(t.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end_offset": offset})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || 4+size > len(body) {
			break
		}
		s.append(t, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end_offset": len(t.records)})
}
