package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// channel is a client's kept channel to an instance.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	// used counts the requests that were answered on it.
	used int
}

func openChannel(address, source string) (*channel, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// outcome is what a client saw of a request on a channel.
type outcome struct {
	status int
	stamp  string
	// begun reports that a byte of an answer arrived.
	begun, whole bool
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
	_, o.err = io.Copy(io.Discard, response.Body)
	o.whole = o.err == nil
	c.used++
	return o
}

const tagLines = "Wigeonusher-Model: *\r\nWigeonusher-Token-Counts: 2368,24\r\nWigeonusher-Prompt-Prefix: 5c1e07a2:568,%s:1800\r\nContent-Length: 0\r\n"

// crowd: two of three machines are lost. Their clients come to the third.
func crowd(s *Stage, trouble bool) bool {
	s.Setup(3)
	for _, e := range s.engines {
		e.FirstEvent = 1500 * time.Millisecond
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sent, whole, refused, unread atomic.Int64
	var mu sync.Mutex
	lost := map[string]time.Time{} // requests whose kept channel was closed without an answer
	// pick returns the instance for a client: its own, or the next one that runs.
	pick := func(n int) *Instance {
		for k := range 3 {
			if i := s.instances[(n+k)%3]; !i.isLost() {
				return i
			}
		}
		return s.instances[n%3]
	}
	pause := func(d time.Duration) bool {
		select {
		case <-stop:
			return false
		case <-time.After(d):
			return true
		}
	}
	// 45 clients with six kept channels each, which are always in use.
	for n := range 45 * 6 {
		group.Go(func() {
			source := fmt.Sprintf("127.0.40.%d", n/6+1)
			for round := 0; pause(250 * time.Millisecond); round++ {
				instance := pick(n / 6)
				c, err := openChannel(instance.Front, source)
				if err != nil {
					continue
				}
				id := fmt.Sprintf("kept-%d-%d", n, round)
				if o := c.send(id+"-first", "GET", pathLookup+"x", "", 4*time.Second); o.err != nil {
					unread.Add(1)
					c.conn.Close()
					continue
				}
				for number := 0; ; number++ {
					tag := fmt.Sprintf("%s-%d", id, number)
					sent.Add(1)
					o := c.send(tag, "POST", pathStream+"tag", fmt.Sprintf(tagLines, tag), 5*time.Second)
					switch {
					case o.whole && o.status == 200:
						whole.Add(1)
					case o.whole:
						refused.Add(1)
					case errors.Is(o.err, os.ErrDeadlineExceeded): // the client's own time is up
					case !o.begun && !instance.isLost():
						s.Log("client %s: kept channel closed without an answer: %v", tag, o.err)
						mu.Lock()
						lost[tag] = time.Now()
						mu.Unlock()
					}
					if o.err != nil || !pause(10*time.Millisecond) {
						break
					}
				}
				c.conn.Close()
			}
		})
	}
	// 40 clients that send one request at a time, each on a new channel.
	var few, fewWhole atomic.Int64
	for n := range 40 {
		group.Go(func() {
			for round := 0; pause(500 * time.Millisecond); round++ {
				c, err := openChannel(pick(n).Front, fmt.Sprintf("127.0.50.%d", n+1))
				if err != nil {
					continue
				}
				id := fmt.Sprintf("new-%d-%d", n, round)
				few.Add(1)
				if o := c.send(id, "POST", pathStream+"tag", fmt.Sprintf(tagLines+"Connection: close\r\n", id), 5*time.Second); o.whole && o.status == 200 {
					fewWhole.Add(1)
				}
				c.conn.Close()
			}
		})
	}
	time.Sleep(8 * time.Second)
	s.Log("before: %d streams sent on kept channels, %d whole, %d refused; %d on new channels, %d whole", sent.Load(), whole.Load(), refused.Load(), few.Load(), fewWhole.Load())
	if trouble {
		s.Log("machines %s and %s are lost", s.instances[0].Name, s.instances[1].Name)
		s.instances[0].lose()
		s.instances[1].lose()
	}
	time.Sleep(20 * time.Second)
	close(stop)
	group.Wait()
	s.Log("in all: %d streams sent on kept channels, %d whole, %d refused; %d on new channels, %d whole; %d channels closed before their first request was answered",
		sent.Load(), whole.Load(), refused.Load(), few.Load(), fewWhole.Load(), unread.Load())
	// The rule counts the requests that were passed on to a sound engine.
	passed, counted := 0, map[string]bool{}
	for _, e := range s.engines {
		for _, a := range e.Arrivals() {
			if _, ok := lost[a.ID]; ok && a.Ran && !counted[a.ID] {
				counted[a.ID] = true
				s.Log("engine %s ran %s, whose kept channel was closed without an answer", e.ID, a.ID)
				passed++
			}
		}
	}
	s.Log("kept channels closed without an answer: %d; of these requests %d were passed on to a sound engine", len(lost), passed)
	return passed > 3
}
