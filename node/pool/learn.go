package pool

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// UsualFirstEvent returns the usual time to a model's first event for a prompt of
// the given number of tokens, 0 if unknown.
func (p *Pool) UsualFirstEvent(model route.ModelName, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expectedFirstEvent(model, tokens)
}

func (p *Pool) expectedFirstEvent(model route.ModelName, tokens int) time.Duration {
	line := p.firstEventLine(model)
	return line.Estimate(tokens)
}

func (p *Pool) expectedReading(model route.ModelName, tokens int) time.Duration {
	line := p.firstEventLine(model)
	return line.PrefillTime(tokens)
}

func (p *Pool) learnFirstEvent(model route.ModelName, tokens int, took time.Duration) {
	line := p.firstEvents[model]
	if line == nil {
		line = &latency.Line{}
		p.firstEvents[model] = line
	}
	line.Add(tokens, took)
}

// UsualPace returns the moving average of the mean time between events of a
// model's streams, 0 if unknown.
func (p *Pool) UsualPace(model route.ModelName) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paces[model]
}

// LearnPace records the mean time between events of a stream.
func (p *Pool) LearnPace(model route.ModelName, pace time.Duration) {
	const weight = 0.02 // of the newest stream: low, so that a short burst changes the average little
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, ok := p.paces[model]
	if !ok {
		p.paces[model] = pace
		return
	}
	p.paces[model] = usual + time.Duration(weight*float64(pace-usual))
}
