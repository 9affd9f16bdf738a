package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// hostile opens a channel and sends a request with a chunked body that stops short of its end.
func hostile(address, source, head string, chunks int, chunk string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 3 * time.Second}
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	var message strings.Builder
	message.WriteString(head)
	for range chunks {
		fmt.Fprintf(&message, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	if _, err := conn.Write([]byte(message.String())); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// hold keeps a channel with a body that stops short of its end until stop is closed. It opens 40 channels at most.
func (s *Stage) hold(address, source, id string, stop <-chan struct{}, open, opened *atomic.Int64) {
	for try := range 40 {
		conn, err := hostile(address, source, head(pathLookup, fmt.Sprintf("%s-%d", id, try), ""), 4, strings.Repeat("x", 1024))
		if err == nil {
			open.Add(1)
			opened.Add(1)
			closed := make(chan struct{})
			go func() {
				_, _ = conn.Read(make([]byte, 1)) // returns when the instance answers or closes
				close(closed)
			}()
			select {
			case <-closed:
			case <-stop:
			}
			conn.Close()
			open.Add(-1)
		}
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// head returns the head of a request with the given further header lines.
func head(path, id, lines string) string {
	return "POST " + path + "x HTTP/1.1\r\nHost: " + host + "\r\nWigeonusher-Attempt-Id: " + id +
		"\r\nWigeonusher-Credential: " + key + "\r\nWigeonusher-Deadline-Remaining-Ms: 25000\r\nTransfer-Encoding: chunked\r\n" + lines + "\r\n"
}

// ordinary sends one idempotent lookup a 250 ms to the instance, from 12 clients with an address
// each, on new channels, until stop is closed.
func (s *Stage) ordinary(address string, stop <-chan struct{}) (sent, good *atomic.Int64, wait func()) {
	sent, good = &atomic.Int64{}, &atomic.Int64{}
	var group sync.WaitGroup
	for n := range 12 {
		group.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
				id := fmt.Sprintf("ordinary-%d-%d", n, number)
				result := Do(address, fmt.Sprintf("127.0.10.%d", n+1), "GET", pathLookup+"x", id, 4*time.Second, nil, nil)
				sent.Add(1)
				if result.Good() {
					good.Add(1)
				}
				s.Log("client %s: status %d, %d ms, %v", id, result.Status, result.Took.Milliseconds(), result.Err)
			}
		})
	}
	return sent, good, group.Wait
}

// lockout: 75 clients keep four chunked bodies each, which stop just short of their end and stay open. A channel
// that is closed is opened again a quarter of a second later. 12 other clients send lookups, each on a new channel.
func lockout(s *Stage, trouble bool) bool {
	s.Setup(3)
	target := s.instances[0]
	stop := make(chan struct{})
	sent, good, wait := s.ordinary(target.Front, stop)
	time.Sleep(2 * time.Second)
	s.Log("before: %d sent, %d good", sent.Load(), good.Load())
	var open, opened atomic.Int64
	var group sync.WaitGroup
	if trouble {
		for n := range 300 {
			source := fmt.Sprintf("127.0.20.%d", n/4+1)
			group.Go(func() { s.hold(target.Front, source, fmt.Sprintf("hostile-%04d", n), stop, &open, &opened) })
			time.Sleep(4 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		s.Log("75 hostile clients: %d channels open, %d opened in all", open.Load(), opened.Load())
	}
	// The longest time for which no request on a new channel was answered, while the instance said that it was ready.
	began, sentBefore, goodBefore := time.Now(), sent.Load(), good.Load()
	longest, tried, notReady := time.Duration(0), int64(0), 0
	lastGood, lastGoodAt, lastSent := goodBefore, began, sentBefore
	for time.Since(began) < 10*time.Second {
		time.Sleep(100 * time.Millisecond)
		if !target.IsReady() {
			notReady++
			s.Log("the instance says that it is not ready")
			lastGoodAt, lastSent = time.Now(), sent.Load()
		}
		if g := good.Load(); g != lastGood {
			lastGood, lastGoodAt, lastSent = g, time.Now(), sent.Load()
		}
		if d := time.Since(lastGoodAt); d > longest {
			longest, tried = d, sent.Load()-lastSent
		}
	}
	s.Log("meanwhile: %d sent, %d good; not ready %d times", sent.Load()-sentBefore, good.Load()-goodBefore, notReady)
	s.Log("longest time without an answer on a new channel: %d ms, with %d requests tried by 12 clients", longest.Milliseconds(), tried)
	s.Log("hostile channels: %d open, %d opened in all", open.Load(), opened.Load())
	close(stop)
	wait()
	group.Wait()
	return longest > 3*time.Second && tried >= 12
}

// perMachine is how many requests with sessions a machine gets at most, in a time of sessionsTime.
const (
	perMachine   = 26_000
	sessionsTime = 92 * time.Second
)

// sessions: each of many requests belongs to a session of its own. The IDs of the sessions are long, inside
// the limit on heads. Two machines get such requests, 283 a second each.
func sessions(s *Stage, trouble bool) bool {
	s.Setup(3)
	stop := make(chan struct{})
	sent, good, wait := s.ordinary(s.instances[0].Front, stop)
	size := 40
	if trouble {
		size = 15500
	}
	var group sync.WaitGroup
	began := time.Now()
	for at, target := range s.instances[:2] {
		var next, served atomic.Int64
		for n := range 24 {
			group.Go(func() {
				client := newKept(target.Front, fmt.Sprintf("127.0.30.%d", 100*at+n+1))
				for {
					number := next.Add(1)
					if ends, _ := target.Ends(); number > perMachine || ends >= 3 {
						return
					}
					time.Sleep(time.Until(began.Add(time.Duration(number) * sessionsTime / perMachine)))
					id := fmt.Sprintf("session-%d-%d", at, number)
					if client.lookup(id, id+"-"+strings.Repeat("s", size)) {
						served.Add(1)
					}
					if number%2000 == 0 {
						_, peak := target.Ends()
						s.Log("%s: %d requests with sessions, %d served; peak %.0f MB", target.Name, number, served.Load(), peak)
					}
				}
			})
		}
	}
	group.Wait()
	close(stop)
	wait()
	s.Log("ordinary clients: %d sent, %d good", sent.Load(), good.Load())
	machines := 0
	for _, i := range s.instances {
		ends, peak := i.Ends()
		s.Log("%s: killed for its memory %d times, peak %.0f MB of %d MB", i.Name, ends, peak, s.memoryMB)
		if ends >= 3 {
			machines++
		}
	}
	return machines >= 2
}
