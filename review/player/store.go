package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readBytes is max_kb of a read that does not say otherwise, answerTime the store's time for an
	// answer and readRate read_mb_s.
	readBytes  = 1024 << 10
	answerTime = 4 * time.Millisecond
	readRate   = 80e6
)

// store is a stand-in of the platform's store: keyed topics with one partition each, in memory.
// It answers log-append, log-read and log-newest as PROTOCOL.md says, and nothing else.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	address string
	// era is the value of Store-Era, which is left out while it is 0, and isAway reports that the store
	// resets every call.
	era    int
	isAway bool
}

// view is the store as one machine sees it: the addresses of engines are those of links of our own.
type view struct {
	*store
	rewrite func(key string, value []byte) []byte

	turnedAway atomic.Bool
	// isCut reports that the machine is partitioned from the store; the store's lock guards it.
	isCut bool
}

// guard answers the calls of a machine that the store turns away with 503: nothing is done.
func (v *view) guard(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if v.turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		v.begin(w)
		serve(w, r)
	}
}

type topic struct {
	records [][]byte
	keys    []string // the key of each record
	newest  map[string]int
}

func newStore() *store {
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{})}
	s.address, _ = s.serve(nil)
	return s
}

// serve serves the store to one machine and returns the address. If rewrite is set, it changes the
// values of the engines' entries.
func (s *store) serve(rewrite func(key string, value []byte) []byte) (string, *view) {
	v := &view{store: s, rewrite: rewrite}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", v.guard(v.serveNewest))
	mux.HandleFunc("GET /api/log-read", v.guard(v.serveRead))
	mux.HandleFunc("POST /api/log-append", v.guard(s.serveAppend))
	listener := listen()
	go http.Serve(listener, mux)
	return listener.Addr().String(), v
}

// value returns the value of a record as the machine sees it.
func (v *view) value(topic string, record []byte) []byte {
	keyEnd := 1 + int(record[0])
	if v.rewrite == nil || topic != "keyed.servers" || len(record) == keyEnd {
		return record[keyEnd:]
	}
	return v.rewrite(string(record[1:keyEnd]), record[keyEnd:])
}

// listen returns a listener on a free loopback port.
func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	return listener
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator or an engine does. A nil value removes the key.
func (s *store) put(name, key string, value any) {
	var encoded []byte
	if value != nil {
		var err error
		encoded, err = json.Marshal(value)
		must(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), encoded...))
}

// append adds a record. The caller holds the lock.
func (s *store) append(name string, record []byte) {
	t := s.topic(name)
	key := string(record[1 : 1+int(record[0])])
	if len(record) == 1+int(record[0]) {
		delete(t.newest, key)
	} else {
		t.newest[key] = len(t.records)
	}
	t.records, t.keys = append(t.records, record), append(t.keys, key)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *view) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items, after := []item{}, r.URL.Query().Get("after")
	var keys []string
	for key := range t.newest {
		if after == "" || key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > 500
	for _, key := range keys[:min(len(keys), 500)] {
		at := t.newest[key]
		value := s.value(r.URL.Query().Get("topic"), t.records[at])
		items = append(items, item{key, base64.StdEncoding.EncodeToString(value), at})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": more, "end_offset": len(t.records)})
}

func (s *view) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for late := false; ; {
		s.mu.Lock()
		t, changed := s.topic(r.URL.Query().Get("topic")), s.changed
		end := len(t.records)
		if from > end {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < end || late {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for i, record := range t.records[from:] {
				if i > 0 && len(body)+len(record) > readBytes {
					break // the rest follows with the next read
				}
				keyEnd := 1 + int(record[0])
				value := s.value(r.URL.Query().Get("topic"), record)
				body = binary.BigEndian.AppendUint32(body, uint32(keyEnd+len(value)))
				body = append(append(body, record[:keyEnd]...), value...)
			}
			s.mu.Unlock()
			time.Sleep(answerTime + time.Duration(float64(len(body))/readRate*float64(time.Second)))
			w.Write(body)
			return
		}
		s.mu.Unlock()
		if s.turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case <-changed:
			s.begin(w)
		case <-timer.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topic(name).records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.append(name, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	reply(w, http.StatusOK, map[string]any{"offset": end, "end_offset": len(s.topic(name).records)})
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
