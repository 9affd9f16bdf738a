package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const guildMemoryMB = 134

// set starts a store with two engines and one machine.
func set(memoryMB int) (*store, []*engine, *machine) {
	s := newStore()
	s.put("keyed.op", "config", config())
	var engines []*engine
	for i := range 2 {
		e := newEngine(fmt.Sprintf("i-%d", i))
		e.register(s, time.Now().UnixMilli())
		engines = append(engines, e)
	}
	time.Sleep(100 * time.Millisecond)
	return s, engines, start("front-1", memoryMB, s)
}

func dialFrom(ip net.IP, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: ip}}
	return dialer.Dial("tcp", address)
}

func head(method, path, id string, remaining int, extra ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nWigeonusher-Attempt-Id: %s\r\nWigeonusher-Deadline-Remaining-Ms: %d\r\nWigeonusher-Credential: %s\r\n%s\r\n",
		method, path, host, id, remaining, key, strings.Join(extra, ""))
}

// exchange sends one request and reads its whole answer.
func exchange(conn net.Conn, reader *bufio.Reader, id, request string) (status int, err error) {
	defer func() {
		if err != nil {
			note("%s: no whole answer: %v", id, err)
		} else {
			note("%s: answered %d", id, status)
		}
	}()
	note("%s: sent", id)
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// keepers are ordinary clients that send one request after the other on a kept channel.
type keepers struct {
	done         chan struct{}
	group        sync.WaitGroup
	lost, served atomic.Int64
}

// keep starts clients whose requests take 1.5 s at the given engines, which are sound.
func keep(m *machine, clients int, engines []*engine) *keepers {
	k := &keepers{done: make(chan struct{})}
	var started sync.Map
	for _, e := range engines {
		e.work = func(r *http.Request) time.Duration {
			if strings.HasPrefix(r.URL.Path, "/hold/") {
				return 1500 * time.Millisecond
			}
			return 5 * time.Millisecond
		}
		e.onRun = func(id string) { started.Store(id, e.id) }
	}
	for n := range clients {
		k.group.Add(1)
		go func() {
			defer k.group.Done()
			conn, err := dialFrom(net.IPv4(127, 0, 0, byte(11+n)), m.front)
			if err != nil {
				note("client %d: %v", n, err)
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for i := 0; ; i++ {
				select {
				case <-k.done:
					return
				default:
				}
				id := fmt.Sprintf("kept-%d-%d", n, i)
				conn.SetDeadline(time.Now().Add(25 * time.Second))
				status, err := exchange(conn, reader, id, head("POST", "/hold/1", id, 20000, "Content-Length: 0\r\n"))
				if err != nil {
					at, isPassedOn := started.Load(id)
					if isPassedOn && !errors.Is(err, os.ErrDeadlineExceeded) {
						note("%s: passed on to the sound engine %v, and its channel was closed without an answer", id, at)
						k.lost.Add(1)
					}
					return
				}
				if status == http.StatusOK {
					k.served.Add(1)
				}
			}
		}()
	}
	return k
}

// judge ends the case: the rule LOST allows three requests.
func (k *keepers) judge(m *machine) {
	const allowed = 3
	if k.served.Load() == 0 {
		cannotRun(errors.New("nothing was served"))
	}
	if m.hasEnded() && !m.overLimit.Load() {
		cannotRun(errors.New("the machine has ended, and not for its memory"))
	}
	say("kept channels: %d served, %d passed on to a sound engine and closed without an answer; peak %d KB of %d; killed for memory: %v",
		k.served.Load(), k.lost.Load(), m.peakKB.Load(), m.memoryMB*1024, m.overLimit.Load())
	isBroken := k.lost.Load() > allowed
	say("LOST broken: %v", isBroken)
	finish(isBroken)
}

func (k *keepers) stop() {
	close(k.done)
	k.group.Wait()
}

// storms: the config has grown twice by 350 routes, and is changed often.
func storms() {
	const (
		routes = 2 * 350
		gap    = 80 * time.Millisecond
		length = 2 * time.Second
		pause  = 1300 * time.Millisecond
		count  = 26
	)
	s, engines, m := set(guildMemoryMB)
	all := []*machine{m, start("front-2", guildMemoryMB, s), start("front-3", guildMemoryMB, s)}
	for _, other := range all {
		other.enforceMemory()
	}
	k := keep(m, 60, engines)
	time.Sleep(2 * time.Second)
	version := 7
	areAllOver := func() bool {
		return !slices.ContainsFunc(all, func(m *machine) bool { return !m.hasEnded() })
	}
	change := func() {
		version++
		c := config()
		list := c["routes"].([]any)
		for n := range routes {
			list = append(list, map[string]any{
				"name": fmt.Sprintf("r-%07x", n), "host": "ficu95.example", "path_prefix": fmt.Sprintf("/pu%04d/", n), "kind": "stream",
				"timeout_ms": 15000 + version%2, "target_latency_ms": 3000, "priority": 1, "sizes": []any{"daka510000", "rada7437b5", "ravo486f6a"},
				"traffic_split": []any{map[string]any{"service": service, "weight": 100}}, "max_attempts": 3, "public": false,
				"session_affinity": true, "stream_resume": true, "target_gap_ms": 1200,
			})
		}
		c["routes"], c["version"] = list, version
		size := s.put("keyed.op", "config", c)
		note("config %d of %d bytes is confirmed", version, size)
		if size > recordBytes {
			cannotRun(fmt.Errorf("the config is longer than a record"))
		}
	}
	change()
	for n := range count {
		began := time.Now()
		for i := 0; time.Since(began) < length && !areAllOver(); i++ {
			if trouble {
				change()
			}
			time.Sleep(time.Until(began.Add(time.Duration(i+1) * gap)))
		}
		note("storm %d is over, %d, %d and %d KB resident", n+1, all[0].residentKB(), all[1].residentKB(), all[2].residentKB())
		if areAllOver() {
			break
		}
		time.Sleep(pause)
	}
	time.Sleep(500 * time.Millisecond)
	k.stop()
	for _, m := range all {
		say("machine %s: peak %d KB, killed for memory: %v", m.name, m.peakKB.Load(), m.overLimit.Load())
	}
	k.judge(m)
}

// newFaultyEngine returns an engine whose answers are heads without end: short fields, until the caller
// closes. The health path answers well.
func newFaultyEngine(id string) *engine {
	e := &engine{id: id}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	e.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.sendHead(conn)
		}
	}()
	return e
}

func (e *engine) sendHead(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if request.URL.Path == "/health" {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nWigeonusher-Instance-Id: %s\r\n\r\n", e.id)
		return
	}
	note("%s: faulty engine %s answers with a head without end", request.Header.Get("Wigeonusher-Attempt-Id"), e.id)
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err != nil {
		return
	}
	const (
		fastFields = 12_800
		interval   = 100 * time.Millisecond
	)
	for n := 0; ; {
		var part strings.Builder
		for fields := 350; fields > 0; fields-- {
			part.WriteString(strconv.FormatInt(int64(n), 36) + ":\n")
			if n++; n > fastFields {
				break // from now on one field a time
			}
		}
		if _, err := io.WriteString(conn, part.String()); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// heads: some engines send heads without end.
func heads() {
	const clients = 220
	s := newStore()
	s.put("keyed.op", "config", config())
	var sound []*engine
	for i := range 5 {
		var e *engine
		if trouble && i%2 == 0 {
			e = newFaultyEngine(fmt.Sprintf("i-%d", i))
		} else {
			e = newEngine(fmt.Sprintf("i-%d", i))
			sound = append(sound, e)
		}
		e.register(s, time.Now().UnixMilli())
	}
	time.Sleep(100 * time.Millisecond)
	m := start("front-1", guildMemoryMB, s)
	m.enforceMemory()
	k := keep(m, clients, sound)
	for range 15 {
		time.Sleep(time.Second)
		note("resident %d KB", m.residentKB())
		if m.hasEnded() {
			break
		}
	}
	time.Sleep(500 * time.Millisecond)
	k.stop()
	k.judge(m)
}
