package capacity

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/cmd/internal/fleet"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node"
	"github.com/wigeonusher/wigeonusher/node/settings"
	"github.com/wigeonusher/wigeonusher/standin/endpoint"
	"github.com/wigeonusher/wigeonusher/standin/environment"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
)

const (
	// enginesPerInstance is the rounded ratio at the target size: 1500 engines
	// for 380 instances.
	enginesPerInstance = 4
	readyTimeout       = 30 * time.Second
	warmUpTime         = 4 * time.Second
	// sampleTime is how long an idle fleet is measured after warmUpTime.
	sampleTime = 8 * time.Second
)

// Shape is the number of zones and of instances per zone of a measured fleet.
type Shape struct {
	Zones   int `json:"zones"`
	PerZone int `json:"per_zone"`
}

// Sample is the measured cost of an instance of an idle fleet, averaged over the
// fleet.
type Sample struct {
	Shape
	CoreShare      float64 `json:"core_share"`
	HeapBytes      float64 `json:"heap_bytes"`
	BytesPerSecond float64 `json:"bytes_per_second"` // sent to and received from peers
}

// measureFleet runs an idle fleet of the shape and measures its cost per
// instance.
func measureFleet(ctx context.Context, shape Shape) (Sample, error) {
	sample := Sample{Shape: shape}
	env, err := environment.Start(deployment(shape), 1)
	if err != nil {
		return sample, err
	}
	defer env.Close()
	heapBefore := heapInUse()
	nodes, err := startNodes(ctx, env)
	defer stopNodes(nodes)
	if err != nil {
		return sample, err
	}
	time.Sleep(warmUpTime)
	bytesBefore, cpuBefore := peerBytes(nodes), cpuTime()
	started := time.Now()
	time.Sleep(sampleTime)
	elapsed := time.Since(started).Seconds()
	count := float64(len(nodes))
	sample.CoreShare = (cpuTime() - cpuBefore).Seconds() / elapsed / count
	sample.BytesPerSecond = float64(peerBytes(nodes)-bytesBefore) / elapsed / count
	sample.HeapBytes = (heapInUse() - heapBefore) / count
	return sample, nil
}

// deployment returns a deployment of the shape, with enginesPerInstance engines
// for each instance.
func deployment(shape Shape) *fixture.Deployment {
	d := fixture.Sheetline()
	d.Zones, d.Instances, d.Engines, d.Desks = nil, nil, nil, nil
	for zone := range shape.Zones {
		name := platform.Zone(fmt.Sprintf("zone-%d", zone))
		d.Zones = append(d.Zones, name)
		for number := range shape.PerZone {
			d.Instances = append(d.Instances, fixture.Instance{Name: fmt.Sprintf("i-%d-%d", zone, number), Zone: name})
			for e := range enginesPerInstance {
				id := fmt.Sprintf("e-%d-%d-%d", zone, number, e)
				d.Engines = append(d.Engines, endpoint.Identity{ID: platform.EndpointID(id), Pool: "small", Zone: name})
			}
		}
	}
	return d
}

func startNodes(ctx context.Context, env *environment.Environment) ([]*node.Node, error) {
	var nodes []*node.Node
	for index := range env.Deployment.Instances {
		s := fleet.SettingsFor(env, index, fleet.Ports{})
		s.Timing = settings.Default().Timing
		n, err := node.New(s, node.Options{})
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, n)
		go func() { _ = n.Run(ctx) }()
	}
	timeout := time.After(readyTimeout)
	for _, n := range nodes {
		select {
		case <-n.Ready():
		case <-timeout:
			return nodes, eris.New("capacity: fleet is not ready")
		}
	}
	return nodes, nil
}

func stopNodes(nodes []*node.Node) {
	for _, n := range nodes {
		n.Kill()
	}
}

// peerBytes returns the bytes that the nodes have exchanged with their peers.
func peerBytes(nodes []*node.Node) uint64 {
	var total uint64
	for _, n := range nodes {
		status := n.Status()
		total += status.PeerSent + status.PeerReceived
	}
	return total
}

// cpuTime returns the user and system time of the process, 0 on an error.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the bytes of live heap objects and of stacks, after a garbage
// collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}
