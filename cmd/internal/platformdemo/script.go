package platformdemo

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wigeonusher/wigeonusher/platform/platformtest"
)

// step is a fault or a planned operation, run after a fraction of the duration
// of the demo.
type step struct {
	fraction float64
	name     string
	run      func(ctx context.Context) error
}

func (d *demo) steps() []step {
	return []step{
		{0.10, "an engine drains", d.drainEngine},
		{0.15, "an engine names a limit", d.limitEngine},
		{0.20, "an instance is stopped, another takes its place", d.replaceInstance},
		{0.25, "a part of prompts crashes engines", d.useBadPart},
		{0.28, "an engine asks for rest", d.restEngine},
		{0.32, "an engine says in its answers that it leaves", d.announceLeaving},
		{0.35, "the store is silent", d.storeOutage},
		{0.48, "the store is copied", d.copyStore},
		{0.50, "a key is revoked", d.revokeKey},
		{0.60, "an engine crashes", d.crashEngine},
		{0.64, "the store is silent and comes back from the copy", d.restoreStore},
		{0.70, "a roll-out is ordered", d.orderRollout},
	}
}

// runScript runs each step at its time.
func (d *demo) runScript(ctx context.Context, start time.Time) error {
	for _, s := range d.steps() {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(start.Add(time.Duration(s.fraction * float64(d.config.Duration))))):
		}
		d.printProgress("%5.1f s  %s", time.Since(start).Seconds(), s.name)
		if err := s.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) drainEngine(context.Context) error {
	engine := d.engines[0]
	engine.Register("draining")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace.Timeline.DrainedAt, d.trace.Timeline.DrainedEngine = time.Now(), engine.ID
	return nil
}

func (d *demo) useBadPart(context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace.Timeline.BadPart = badPart
	return nil
}

// engineLimit is the limit of an engine in need, in requests a second.
const engineLimit = 1.0

func (d *demo) limitEngine(context.Context) error {
	engine := d.engines[modelEngines+plainEngines-1]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace.Timeline.LimitedAt, d.trace.Timeline.LimitedEngine = time.Now(), engine.ID
	return nil
}

// arrivalsOnTheirWay is the number of requests of each instance that the users allow to reach an
// endpoint in its rest.
const arrivalsOnTheirWay = 2

// engineRest is how long an engine turns requests away and asks for rest.
const engineRest = 2 * time.Second

func (d *demo) restEngine(context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace.Timeline.RestedAt, d.trace.Timeline.RestedEngine = time.Now(), d.engines[2].ID
	return nil
}

// announceLeaving lets an engine leave without a word in its registration.
func (d *demo) announceLeaving(context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace.Timeline.AnnouncedAt, d.trace.Timeline.AnnouncedEngine = time.Now(), d.engines[3].ID
	return nil
}

// replaceInstance starts an instance and then gracefully stops another. Clients
// keep calling the stopping instance for half of the time that it waits for the
// balancer.
func (d *demo) replaceInstance(context.Context) error {
	if err := d.startInstance(); err != nil {
		return err
	}
	d.mu.Lock()
	leaving := d.running[0]
	leaving.stopping = true
	d.mu.Unlock()
	leaving.stop()
	time.Sleep(millis(balancerLagMillis) / 2)
	d.mu.Lock()
	d.running = d.running[1:]
	d.mu.Unlock()
	return <-leaving.done
}

func (d *demo) storeOutage(ctx context.Context) error {
	const outageDuration = time.Second
	d.store.SetFault(platformtest.Silent)
	defer d.store.SetFault(platformtest.Healthy)
	select {
	case <-ctx.Done():
	case <-time.After(outageDuration):
	}
	return nil
}

func (d *demo) copyStore(context.Context) error {
	d.backup = d.store.Copy()
	return nil
}

// restoreStore loses what was written to the store since the copy. The operator and the
// engines write it again.
func (d *demo) restoreStore(ctx context.Context) error {
	const outageDuration = 300 * time.Millisecond
	d.store.SetFault(platformtest.Silent)
	select {
	case <-ctx.Done():
	case <-time.After(outageDuration):
	}
	d.store.Restore(d.backup)
	d.store.SetFault(platformtest.Healthy)
	d.store.PutConfig(2, platformtest.Key)
	for _, engine := range d.engines[2:] { // the first has left, the second has crashed
		engine.Register("ready")
	}
	return nil
}

func (d *demo) revokeKey(context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.PutConfig(2, platformtest.Key)
	d.trace.Timeline.RevokedAt, d.trace.Timeline.RevokedKey = time.Now(), revokedKey
	return nil
}

func (d *demo) crashEngine(context.Context) error {
	engine := d.engines[1]
	engine.Close()
	engine.Deregister()
	return nil
}

// orderRollout starts engines of a second version and orders a roll-out to it.
func (d *demo) orderRollout(context.Context) error {
	for number := range modelEngines / 2 {
		engine := platformtest.NewEngineVersion(d.store, "model-v2-"+strconv.Itoa(number), platformtest.ModelService, "v2")
		d.addFaultyEngine(engine, uint64(200+number))
	}
	const rolloutFraction = 0.25 // of the run; a little less than what remains of it
	d.store.OrderRollout(platformtest.ModelService, "v2", time.Duration(rolloutFraction*float64(d.config.Duration)))
	return nil
}

// runClient sends the requests of one client until the context ends. It retries
// once after a refusal with a retry delay.
func (d *demo) runClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(d.config.Seed, uint64(1000+number)))
	for ctx.Err() == nil {
		kind := []Kind{Stream, Stream, AtMostOnce, Idempotent}[random.IntN(4)]
		key := platformtest.Key
		if random.IntN(5) == 0 {
			key = revokedKey
		}
		answer := d.send(random, kind, key, number)
		if answer.NotRun && answer.RetryAfter > 0 {
			time.Sleep(answer.RetryAfter)
			d.send(random, kind, key, number)
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * clientPause))))
	}
}

// send sends a request to a random instance that clients still call, and records
// the attempt.
func (d *demo) send(random *rand.Rand, kind Kind, key string, number int) platformtest.Answer {
	paths := map[Kind]string{Stream: platformtest.PathStream, AtMostOnce: platformtest.PathAtMostOnce, Idempotent: platformtest.PathIdempotent}
	d.mu.Lock()
	d.requests++
	request := platformtest.Request{
		ID: "r-" + strconv.Itoa(d.requests), Path: paths[kind] + "x", Key: key,
		Timeout: clientTimeout,
	}
	if kind == Stream {
		request.Session = "s-" + strconv.Itoa(number)
		if d.trace.Timeline.BadPart != "" && random.IntN(badPartRatio) == 0 {
			request.Prompt = "aa:60," + badPart + ":20," + request.ID + ":20"
		}
	}
	target := d.running[random.IntN(len(d.running))]
	d.mu.Unlock()
	start := time.Now()
	answer := d.client.Send(context.Background(), target.entry.Settings().ClientAddress, request)
	attempt := Attempt{Kind: kind, Request: request, Answer: answer, SentAt: start, Duration: time.Since(start)}
	d.mu.Lock()
	defer d.mu.Unlock()
	attempt.InstanceStopping = target.stopping
	d.trace.Attempts = append(d.trace.Attempts, attempt)
	return answer
}
