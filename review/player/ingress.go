package main

import (
	"sync"
	"time"
)

// ingress selects the machine for a new channel, as the platform does: each second it asks each
// machine whether it is ready; after two misses a machine gets no new channels until it answers with
// 200 again. If fewer than half of a zone's machines are in rotation, all of the zone's machines are
// used, and if none is, those of the other zones.
type ingress struct {
	machines []*machine

	mu     sync.Mutex
	misses []int
	turn   int
	isOver bool
}

// stop ends the checks.
func (in *ingress) stop() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.isOver = true
}

func newIngress(machines []*machine) *ingress {
	in := &ingress{machines: machines, misses: make([]int, len(machines))}
	for i, m := range machines {
		go func() {
			for {
				next := time.Now().Add(time.Second)
				isReady := m.isReady()
				in.mu.Lock()
				if in.isOver {
					in.mu.Unlock()
					return
				}
				before := in.misses[i]
				if in.misses[i]++; isReady {
					in.misses[i] = 0
				}
				if after := in.misses[i]; before < 2 && after == 2 {
					note("platform: %s gets no new channels", m.name)
				} else if before >= 2 && after == 0 {
					note("platform: %s gets channels again", m.name)
				}
				in.mu.Unlock()
				time.Sleep(time.Until(next))
			}
		}()
	}
	return in
}

// pick returns the index of a machine for a client of a zone.
func (in *ingress) pick(zone string) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	var local, localReady, others []int
	for i, m := range in.machines {
		isReady := in.misses[i] < 2
		switch {
		case m.zone == zone && isReady:
			local, localReady = append(local, i), append(localReady, i)
		case m.zone == zone:
			local = append(local, i)
		case isReady:
			others = append(others, i)
		}
	}
	chosen := localReady
	switch {
	case len(localReady) == 0 && len(others) > 0:
		chosen = others
	case 2*len(localReady) < len(local):
		chosen = local
	}
	in.turn++
	return chosen[in.turn%len(chosen)]
}
