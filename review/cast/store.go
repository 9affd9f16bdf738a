package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: keyed topics with one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	server  *http.Server
	address string
}

type record struct {
	key   string
	value []byte
}

func newStore() *store {
	s := &store{topics: make(map[string][]record), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.newest)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("POST /api/log-append", s.append)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	return s
}

// recordBytes is the largest record.
const recordBytes = 262_144

// put writes a value and returns its size.
func (s *store) put(topic, key string, value any) int {
	body, err := json.Marshal(value)
	if err != nil {
		cannotRun(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, record{key, body})
	return len(body)
}

// add is called with the lock.
func (s *store) add(topic string, r record) {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.FormValue("topic")]
	last := make(map[string]int)
	for i, rec := range records {
		last[rec.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, i := range last {
		if len(records[i].value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(records[i].value), i})
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Offset < items[b].Offset })
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end_offset": len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waited := false; ; {
		s.mu.Lock()
		records, changed := s.topics[r.FormValue("topic")], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			io.WriteString(w, `{"first":0}`)
			return
		}
		if from == len(records) && !waited {
			select {
			case <-changed:
			case <-timer.C:
				waited = true
			case <-r.Context().Done():
				return
			}
			continue
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, rec := range records[from:] {
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
			body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
		}
		w.Write(body)
		return
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic, at := r.URL.Query().Get("topic"), r.URL.Query().Get("at")
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	w.Header().Set("Content-Type", "application/json")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if at != "" && at != strconv.Itoa(first) {
		w.WriteHeader(http.StatusPreconditionFailed)
		json.NewEncoder(w).Encode(map[string]any{"end_offset": first})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+size]
		key := int(content[0])
		s.add(topic, record{string(content[1 : 1+key]), append([]byte(nil), content[1+key:]...)})
		body = body[4+size:]
	}
	json.NewEncoder(w).Encode(map[string]any{"offset": first, "end_offset": len(s.topics[topic])})
}
