package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// channel is a client's kept channel to an instance.
type channel struct {
	conn      net.Conn
	reader    *bufio.Reader
	address   string
	idleSince time.Time
	// used counts the requests that were answered on it.
	used int
}

func openChannel(address, source string) (*channel, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, address: address, reader: bufio.NewReader(conn)}, nil
}

// outcome is what a client saw of a request on a channel.
type outcome struct {
	status int
	stamp  string
	// begun reports that a byte of an answer arrived.
	begun, whole bool
	retryAfter   time.Duration
	err          error
}

// send sends a request and reads its answer. An error means that the channel has ended or the time is up.
func (c *channel) send(id, method, path, lines string, timeout time.Duration) (o outcome) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	_, o.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nWigeonusher-Attempt-Id: %s\r\nWigeonusher-Credential: %s\r\nWigeonusher-Deadline-Remaining-Ms: %d\r\n%s\r\n",
		method, path, host, id, key, timeout.Milliseconds(), lines)
	if o.err != nil {
		return o
	}
	if _, o.err = c.reader.Peek(1); o.err != nil {
		return o
	}
	o.begun = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if o.err = err; err != nil {
		return o
	}
	defer response.Body.Close()
	o.status, o.stamp = response.StatusCode, response.Header.Get("Wigeonusher-Server-Stamp")
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	o.retryAfter = time.Duration(seconds * float64(time.Second))
	_, o.err = io.Copy(io.Discard, response.Body)
	o.whole = o.err == nil
	c.used++
	return o
}

// sheet lists the kinds of requests of the site's sheet with their rates a second and time budgets, and how long the engines of the
// stage take: each first event and each answer is on time by the sheet.
var sheet = []struct {
	name, method, path string
	rate               float64
	budget             time.Duration
	// retry reports that a client repeats a request that got no answer.
	retry bool
}{
	{"trip-dossier", "POST", pathDossier, 27.7, 20 * time.Second, true},
	{"kennel-note", "POST", pathNote, 39.1, 15 * time.Second, true},
	{"inbox-tag", "POST", pathTag, 47.3, 5 * time.Second, true},
	{"seat-hold", "POST", pathBooking, 28.5, 1500 * time.Millisecond, false},
	{"slot-check", "GET", pathLookup, 11.4, 1500 * time.Millisecond, true},
}

const clientCount = 100 // as many as the site file has

// client keeps the channels that it does not use now, for up to four fifths of idle_timeout_ms.
type client struct {
	source string
	mu     sync.Mutex
	idle   []*channel
}

// take returns a kept channel to the address that is still open, nil if there is none.
func (c *client) take(address string) *channel {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		_ = last.conn.SetReadDeadline(time.Now().Add(200 * time.Microsecond))
		_, err := last.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && last.address == address && time.Since(last.idleSince) < 12*time.Second {
			return last
		}
		last.conn.Close()
	}
	return nil
}

func (c *client) keep(ch *channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch.idleSince = time.Now()
	c.idle = append(c.idle, ch)
}

// crowd: the site's traffic comes to three machines. Two of them are lost, and their clients come to the third.
func crowd(s *Stage, trouble bool) bool {
	s.Setup(3)
	var sent, whole, refused, unread, own atomic.Int64
	var mu sync.Mutex
	lost := map[string]bool{} // requests whose kept channel was closed without an answer
	clients := make([]*client, clientCount)
	for n := range clients {
		clients[n] = &client{source: fmt.Sprintf("127.0.40.%d", n+1)}
	}
	// pick is the platform: a client's new channels go to one machine, or to the next one that runs.
	pick := func(n int) *Instance {
		for k := range 3 {
			if i := s.instances[(n+k)%3]; !i.isLost() {
				return i
			}
		}
		return s.instances[n%3]
	}
	// try sends one attempt and reports whether the client may repeat it.
	try := func(n, kind int, id string, budget time.Duration) (retry bool, after time.Duration) {
		instance, c := pick(n), clients[n]
		ch := c.take(instance.Front)
		if ch == nil {
			var err error
			if ch, err = openChannel(instance.Front, c.source); err != nil {
				unread.Add(1)
				return true, 0
			}
		}
		lines := "Content-Length: 0\r\n"
		if sheet[kind].path != pathBooking && sheet[kind].path != pathLookup {
			lines += "Wigeonusher-Model: *\r\nWigeonusher-Token-Counts: 2368,24\r\nWigeonusher-Prompt-Prefix: 5c1e07a2:568," + id + ":1800\r\n"
		}
		wasUsed := ch.used > 0
		sent.Add(1)
		o := ch.send(id, sheet[kind].method, sheet[kind].path+"x", lines, budget)
		switch {
		case o.whole && o.status == 200:
			whole.Add(1)
			c.keep(ch)
			return false, 0
		case o.whole:
			refused.Add(1)
			c.keep(ch)
			return o.status == 503, o.retryAfter
		case errors.Is(o.err, os.ErrDeadlineExceeded):
			own.Add(1) // the client's own time is up
		case !o.begun && wasUsed && !instance.isLost():
			mu.Lock()
			lost[id] = true
			mu.Unlock()
		case !o.begun:
			unread.Add(1)
		}
		s.Log("client %d %s: kept channel %v, begun %v: %v", n, id, wasUsed, o.begun, o.err)
		ch.conn.Close()
		return sheet[kind].retry && !o.begun, 0
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for kind := range sheet {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(kind), 50))
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.ExpFloat64() / sheet[kind].rate * float64(time.Second))):
				}
				n, arrived := random.IntN(clientCount), time.Now()
				group.Go(func() {
					id := fmt.Sprintf("%s-%d", sheet[kind].name, number)
					retry, after := try(n, kind, id, sheet[kind].budget)
					left := sheet[kind].budget - time.Since(arrived) - after
					if retry && left > 100*time.Millisecond { // the sheet allows one retry
						time.Sleep(after)
						try(n, kind, id+"-again", left)
					}
				})
			}
		})
	}
	time.Sleep(12 * time.Second)
	before := sent.Load()
	s.Log("before: %d attempts sent, %d whole, %d refused, %d closed unread or refused, %d ended by the client's time budget", before, whole.Load(), refused.Load(), unread.Load(), own.Load())
	if trouble {
		s.Log("machines %s and %s are lost", s.instances[0].Name, s.instances[1].Name)
		s.instances[0].lose()
		s.instances[1].lose()
	}
	time.Sleep(25 * time.Second)
	s.Log("since: %d attempts sent in 25 s", sent.Load()-before)
	close(stop)
	group.Wait()
	s.Log("in all: %d attempts sent, %d whole, %d refused, %d closed unread or refused, %d ended by the client's time budget", sent.Load(), whole.Load(), refused.Load(), unread.Load(), own.Load())
	// The rule counts the requests that were passed on to a sound engine.
	passed, counted := 0, map[string]bool{}
	for _, e := range s.engines {
		for _, a := range e.Arrivals() {
			if lost[a.ID] && a.Ran && !counted[a.ID] {
				counted[a.ID] = true
				s.Log("engine %s ran %s, whose kept channel was closed without an answer", e.ID, a.ID)
				passed++
			}
		}
	}
	s.Log("kept channels closed without an answer: %d; of these requests %d were passed on to a sound engine", len(lost), passed)
	return passed > 3
}
