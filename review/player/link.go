package main

import (
	"encoding/json"
	"io"
	"net"
	"sync"
)

// link is the path from one machine to one engine: a proxy that can be cut.
type link struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
}

func newLink(target string) *link {
	l := &link{target: target, open: map[net.Conn]bool{}}
	l.listener = listen()
	l.address = l.listener.Addr().String()
	go l.accept(l.listener)
	return l
}

func (l *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.pass(conn)
	}
}

func (l *link) pass(from net.Conn) {
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		from.Close()
		return
	}
	l.mu.Lock()
	l.open[from], l.open[to] = true, true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			io.Copy(pair[0], pair[1])
			pair[0].(*net.TCPConn).CloseWrite()
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	l.mu.Lock()
	delete(l.open, from)
	delete(l.open, to)
	l.mu.Unlock()
	from.Close()
	to.Close()
}

// cut resets the channels of the link and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener.Close()
	for conn := range l.open {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// heal lets channels through again.
func (l *link) heal() {
	listener, err := net.Listen("tcp", l.address)
	must(err)
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go l.accept(listener)
}

// linksTo returns links to all engines, and the change that makes a view of the store name them.
func linksTo(engines []*engine) ([]*link, func(key string, value []byte) []byte) {
	var links []*link
	addresses := map[string]string{}
	for _, e := range engines {
		l := newLink(e.address)
		links = append(links, l)
		addresses[e.id] = l.address
	}
	return links, func(key string, value []byte) []byte {
		var entry map[string]any
		if addresses[key] == "" || json.Unmarshal(value, &entry) != nil {
			return value
		}
		entry["address"] = addresses[key]
		changed, err := json.Marshal(entry)
		must(err)
		return changed
	}
}
