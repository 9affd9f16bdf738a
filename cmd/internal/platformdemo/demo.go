package platformdemo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/node/entry"
	"github.com/wigeonusher/wigeonusher/platform"
	"github.com/wigeonusher/wigeonusher/platform/platformtest"
)

const (
	instances    = 9
	modelEngines = 8
	plainEngines = 3
	// clients is the number of clients. Each sends one request at a time, with
	// a pause of clientPause on average between requests.
	clients       = 40
	clientPause   = 100 * time.Millisecond
	clientTimeout = 4 * time.Second
	// readyTimeout is the longest time that an instance may take to become ready.
	readyTimeout = 20 * time.Second
	// revokedKey is valid at the start of the run and revoked during it. About one in
	// five requests carries it.
	revokedKey = "key-2"
	// badPart is a part of prompts that crashes engines, which are back after crashedFor. Once
	// it is in use, one in badPartRatio streams has it.
	badPart      = "dead"
	badPartRatio = 8
	crashedFor   = time.Second
	// stopGraceMillis is the longest time for the planned stop of an instance.
	stopGraceMillis = 3000
	// balancerLagMillis is how long a stopping instance keeps serving as before.
	// The demo's clients stop calling it after half of that.
	balancerLagMillis = 200
)

// Config configures a run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Progress receives a line when all instances are ready and one for each step
	// of the script.
	Progress io.Writer
	// Log receives the log lines of the instances.
	Log io.Writer
}

// Result is the result of a run.
type Result struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Sent    int     `json:"sent"`
	// Answered is the number of attempts with a complete answer of status 200,
	// and Refused the number of attempts refused as not run.
	Answered int    `json:"answered"`
	Refused  int    `json:"refused"`
	Rules    []Rule `json:"rules"`
	// Passed reports that no rule was broken.
	Passed bool `json:"held"`
}

// demo is the state of one run.
type demo struct {
	config  Config
	store   *platformtest.Store
	client  *platformtest.Client
	engines []*platformtest.Engine
	// backup is the copy from which the store is restored.
	backup platformtest.Copy

	mu               sync.Mutex
	running          []*instance
	instancesStarted int
	trace            Trace
	requests         int
}

// instance is one entry instance.
type instance struct {
	entry    *entry.Entry
	stop     context.CancelFunc
	done     chan error
	stopping bool
}

// Run generates the traffic, injects the faults and checks the rules.
func Run(ctx context.Context, config Config) (*Result, error) {
	d := &demo{config: config, store: platformtest.NewStore(), client: platformtest.NewClient()}
	defer d.close()
	if err := d.startFleet(); err != nil {
		return nil, err
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	var traffic sync.WaitGroup
	for number := range clients {
		traffic.Go(func() { d.runClient(ctx, number) })
	}
	scriptErr := d.runScript(ctx, start)
	traffic.Wait()
	if scriptErr != nil {
		return nil, scriptErr
	}
	return d.result(time.Since(start)), nil
}

func (d *demo) printProgress(format string, arguments ...any) {
	fmt.Fprintf(d.config.Progress, format+"\n", arguments...)
}

// startFleet starts the engines and the instances.
func (d *demo) startFleet() error {
	d.store.PutConfig(1, platformtest.Key, revokedKey)
	for number := range modelEngines {
		d.addEngine("model-"+strconv.Itoa(number), platformtest.ModelService, uint64(number))
	}
	for number := range plainEngines {
		d.addEngine("desk-"+strconv.Itoa(number), platformtest.PlainService, uint64(100+number))
	}
	for range instances {
		if err := d.startInstance(); err != nil {
			return err
		}
	}
	d.printProgress("%d instances are ready, %d engines", instances, len(d.engines))
	return nil
}

func (d *demo) addEngine(id, service string, seed uint64) {
	d.addFaultyEngine(platformtest.NewEngine(d.store, id, service), seed)
}

// addFaultyEngine makes an engine fail at random, as drawn from the seed of the
// run and the given seed of the engine, and adds the engine to the run.
func (d *demo) addFaultyEngine(engine *platformtest.Engine, seed uint64) {
	random := rand.New(rand.NewPCG(d.config.Seed, seed))
	var mu sync.Mutex
	engine.SetBehaviour(func(arrival platformtest.Arrival, _ int) platformtest.Behaviour {
		if arrival.HasPart(badPart) {
			return platformtest.Behaviour{Crash: true, RestartAfter: crashedFor}
		}
		mu.Lock()
		defer mu.Unlock()
		behaviour := drawBehaviour(random)
		if engine.Service == platformtest.ModelService && random.IntN(50) == 0 {
			drawBrokenFraming(random, &behaviour)
		}
		behaviour.Limit = d.limitOf(engine)
		d.addNeeds(engine, &behaviour)
		return behaviour
	})
	d.engines = append(d.engines, engine)
}

// limitOf returns the limit that the engine names, empty if it names none.
func (d *demo) limitOf(engine *platformtest.Engine) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if engine.ID != d.trace.Timeline.LimitedEngine {
		return ""
	}
	return strconv.FormatFloat(engineLimit, 'g', -1, 64)
}

// addNeeds makes an engine ask for rest, or say that it leaves.
func (d *demo) addNeeds(engine *platformtest.Engine, behaviour *platformtest.Behaviour) {
	d.mu.Lock()
	defer d.mu.Unlock()
	timeline := &d.trace.Timeline
	if left := time.Until(timeline.RestedAt.Add(engineRest)); engine.ID == timeline.RestedEngine && left > 0 {
		behaviour.Full, behaviour.Rest = true, strconv.FormatFloat(left.Seconds(), 'f', 3, 64)
	}
	if engine.ID == timeline.AnnouncedEngine {
		behaviour.Leaving = "1"
	}
}

// drawBehaviour draws how an engine handles a request: nine in ten are served
// without a fault.
func drawBehaviour(random *rand.Rand) platformtest.Behaviour {
	behaviour := platformtest.Behaviour{Confidence: random.IntN(101)}
	switch random.IntN(50) {
	case 0:
		behaviour.Full = true
	case 1:
		behaviour.LoseAnswer = true
	case 2:
		behaviour.CutAfter = 1 + random.IntN(platformtest.StreamEvents-1)
	case 3:
		behaviour.WrongAttempt = true
	case 4:
		behaviour.Status = 500
	}
	return behaviour
}

// drawBrokenFraming makes an engine break off a stream inside an event, in a framing that
// is drawn too.
func drawBrokenFraming(random *rand.Rand, behaviour *platformtest.Behaviour) {
	framings := []platformtest.Framing{platformtest.FramedByLength, platformtest.FramedByChunks, platformtest.FramedByConnection}
	event := len(platformtest.Event(1))
	behaviour.Framing = framings[random.IntN(len(framings))]
	behaviour.Cut = &platformtest.Cut{
		After: random.IntN(platformtest.StreamEvents)*event + 1 + random.IntN(event-1), Reset: random.IntN(2) == 0,
	}
}

// startInstance starts an instance and waits until it is ready.
func (d *demo) startInstance() error {
	d.mu.Lock()
	settings := d.settings()
	d.instancesStarted++
	d.mu.Unlock()
	logger := logrus.New()
	logger.SetOutput(d.config.Log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	created, err := entry.New(settings, platform.New(settings.StoreAddress), logger)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{entry: created, stop: stop, done: make(chan error, 1)}
	go func() { i.done <- created.Run(ctx) }()
	d.mu.Lock()
	d.running = append(d.running, i)
	d.mu.Unlock()
	for deadline := time.Now().Add(readyTimeout); !created.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return eris.Errorf("platformdemo: %s is not ready", settings.Name)
		}
	}
	return nil
}

// settings returns the settings of the next instance. The caller holds the lock.
func (d *demo) settings() entry.Settings {
	const memoryMB = 1024 // of all instances together, because they share this process
	s := entry.DefaultSettings()
	s.Name = "entry-" + strconv.Itoa(d.instancesStarted)
	s.Zone = platformtest.Zone
	s.ClientAddress, s.HealthAddress, s.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.StoreAddress = d.store.Address()
	s.Limits.MemoryMB, s.Limits.Processors = memoryMB, runtime.GOMAXPROCS(0)
	s.Bounds.StrictRevocation = true
	s.Bounds.RetryRatio, s.Bounds.RetrySlack = 0.9, 58
	s.Bounds.BalancerLagMillis, s.Bounds.StopGraceMillis = balancerLagMillis, stopGraceMillis
	for _, other := range d.running {
		s.Seeds = append(s.Seeds, other.entry.Settings().PeerAddress)
	}
	return s
}

// boundsFromSettings returns the bounds that the fleet must keep with the
// settings.
func boundsFromSettings(s entry.Bounds) Bounds {
	return Bounds{
		MaxAttempts: 3, DrainDelay: millis(s.EndpointDrainMillis), RevocationDelay: millis(s.RevocationMillis),
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, LateTolerance: time.Second,
		BadPartDelay: 3 * time.Second, BadPartArrivals: 3,
		RestDelay: 500 * time.Millisecond, RestTime: engineRest, RestArrivals: instances * (1 + arrivalsOnTheirWay), LeavingArrivals: instances,
		LimitDelay: 4 * time.Second, LimitWindow: fleetlimit.Window, LimitArrivals: int(1.5*engineLimit*fleetlimit.Window.Seconds()) + 5,
	}
}

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func (d *demo) close() {
	d.mu.Lock()
	running := d.running
	d.mu.Unlock()
	for _, i := range running {
		i.stop()
	}
	for _, i := range running {
		<-i.done
	}
	for _, engine := range d.engines {
		engine.Close()
	}
	d.store.Close()
}

func (d *demo) result(took time.Duration) *Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, engine := range d.engines {
		d.trace.Timeline.Crashes = append(d.trace.Timeline.Crashes, engine.Crashes()...)
		for _, arrival := range engine.Arrivals() {
			d.trace.Arrivals = append(d.trace.Arrivals, EngineArrival{Engine: engine.ID, Arrival: arrival})
		}
	}
	result := &Result{Seed: d.config.Seed, Seconds: took.Seconds(), Sent: len(d.trace.Attempts), Passed: true}
	for _, attempt := range d.trace.Attempts {
		switch {
		case attempt.Answer.Status == 200 && attempt.Answer.Complete:
			result.Answered++
		case attempt.Answer.NotRun:
			result.Refused++
		}
	}
	slices.SortFunc(d.trace.Timeline.Crashes, time.Time.Compare)
	d.trace.RolledBack = d.store.RolloutState(platformtest.ModelService) == platformtest.RolledBack
	result.Rules = Check(&d.trace, boundsFromSettings(d.settings().Bounds))
	for _, rule := range result.Rules {
		result.Passed = result.Passed && rule.Violations == 0
	}
	return result
}
