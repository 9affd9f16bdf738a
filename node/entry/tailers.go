package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/tailer"
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

func (e *Entry) operatorTailer() *tailer.Tailer {
	return e.newTailer(tailer.Config{
		Topic: e.platform.Topics().Operator, Wait: e.operatorWait, Apply: e.applyOperator,
	})
}

func (e *Entry) registryTailer() *tailer.Tailer {
	return e.newTailer(tailer.Config{
		Topic: e.platform.Topics().Registry, Wait: e.registryWait,
		MinInterval: e.registryPollInterval, Apply: e.applyRegistry, Grace: e.pools.GraceLeft,
	})
}

func fixedWait(wait time.Duration) func() time.Duration {
	return func() time.Duration { return wait }
}

func (e *Entry) registryPollInterval() time.Duration {
	return time.Duration(registryPollFraction * float64(e.endpointDrain()))
}

func (e *Entry) registryWait() time.Duration {
	return time.Duration(registryWaitFraction * float64(e.endpointDrain()))
}

func (e *Entry) endpointDrain() time.Duration {
	return millis(e.currentSettings.Load().Bounds.EndpointDrainMillis)
}

func (e *Entry) statusTailer() *tailer.Tailer {
	return e.newTailer(tailer.Config{Topic: e.platform.Topics().Status, Wait: fixedWait(statusWait), Apply: e.applyStatus})
}

func (e *Entry) verdictTailer() *tailer.Tailer {
	return e.newTailer(e.crashes.TopicConfig(e.platform.Topics().Verdicts))
}

// newTailer returns a tailer that shares its topic with the peers of the zone.
func (e *Entry) newTailer(config tailer.Config) *tailer.Tailer {
	config.Log, config.Logger = e.platform.Log(), e.log
	if e.topics == nil {
		return tailer.New(config)
	}
	config.Peers = e.topics
	followed := tailer.New(config)
	e.topics.add(followed)
	e.observer.registerTopic(followed)
	return followed
}

// isStoreUnresponsive reports whether the last response to a read of the operator
// topic is overdue. A long read of the registry may not notice a short outage
// during which registrations expire.
func (e *Entry) isStoreUnresponsive() bool {
	return boottime.Now() > e.operatorReadDue()
}

// operatorReadDue returns when the response to a read of the operator topic is
// overdue.
func (e *Entry) operatorReadDue() boottime.Instant {
	return boottime.Instant(e.operatorAnsweredAt.Load()) + boottime.Instant(e.operatorWait()+lateAnswerTolerance)
}

func (e *Entry) applyOperator(batch tailer.Batch) {
	// A read of the registry may wait through an outage without a failure. If the
	// registry was read after the last failure, the outage ended for it earlier, and
	// the wait of the operator read must not prolong the grace period.
	if batch.Recovered && boottime.Instant(e.registryAnsweredAt.Load()) < batch.LastFailure {
		e.pools.RegistryRestored(time.Now())
	}
	e.applyEvacuations(time.Now(), batch) // before a configuration of the batch permits requests
	for _, change := range batch.Changes {
		table, err := e.platform.DecodeTable(change)
		if err != nil {
			e.log.WithError(err).WithField("key", change.Key).Error("cannot decode configuration; the previous one stays in force")
		}
		if table != nil {
			e.applyTable(table)
		}
		order, err := e.platform.DecodeOrder(change)
		if err != nil {
			e.log.WithError(err).WithField("key", change.Key).Error("cannot decode roll-out order")
		}
		switch {
		case order == nil:
		case batch.Restored:
			e.versions.RestoredOrder(*order)
		default:
			e.versions.Order(*order)
		}
	}
	isProof := int64(batch.Sent) > e.verifiedAt.Load()
	if isProof {
		e.verifiedAt.Store(int64(batch.Sent))
	}
	if isProof || batch.Partial { // a part of a backlog proves nothing, but the store answers
		e.operatorAnsweredAt.Store(int64(boottime.Now()))
	}
}

// applyTable makes the table the current one if its revision is newer than that of
// the current table, or if there is no current table.
func (e *Entry) applyTable(table *route.Table) {
	previous := e.table.Load()
	if previous != nil && previous.Revision >= table.Revision {
		return
	}
	rules := make(map[route.ServiceName]pool.ColdRule)
	for _, name := range table.Services() {
		if service, ok := table.Service(name); ok && service.ColdPerSecond > 0 {
			rules[name] = pool.ColdRule{Start: service.ColdStart, PerSecond: service.ColdPerSecond}
		}
	}
	e.pools.SetColdRules(time.Now(), rules)
	for _, warning := range table.Warnings {
		e.log.WithFields(logrus.Fields{"revision": table.Revision, "ignored": warning}).Warn("part of the configuration is ignored")
	}
	e.table.Store(table)
	fields := logrus.Fields{"revision": table.Revision, "routes": table.Routes()}
	if previous != nil {
		fields["former"] = previous.Revision
	}
	e.log.WithFields(fields).Info("configuration in force")
}

func (e *Entry) applyRegistry(batch tailer.Batch) {
	now := time.Now()
	mayHaveMissedOutage := e.isStoreUnresponsive() && batch.Sent < e.operatorReadDue()
	if batch.Recovered || batch.Restored || mayHaveMissedOutage {
		e.pools.RegistryRestored(now)
	}
	e.pools.ExtendGrace(now, batch.Grace)
	e.registryAnsweredAt.Store(int64(boottime.Now()))
	for _, change := range batch.Changes {
		id := platform.EndpointID(change.Key)
		if change.Value == nil {
			e.pools.Remove(now, id)
			continue
		}
		record, err := e.platform.DecodeEndpoint(change)
		if err != nil {
			e.log.WithError(err).WithField("endpoint", change.Key).Warn("cannot decode endpoint registration")
			continue
		}
		e.pools.Put(record)
	}
	e.pools.Viewed(batch.Sent)
}

func (e *Entry) applyStatus(batch tailer.Batch) {
	var statuses []canary.Status
	for _, change := range batch.Changes {
		status, err := e.platform.DecodeStatus(change)
		if err != nil {
			e.log.WithError(err).WithField("key", change.Key).Error("cannot decode roll-out status")
			continue
		}
		if status != nil {
			statuses = append(statuses, *status)
		}
	}
	if batch.Snapshot {
		e.versions.LoadStatuses(batch.Next, statuses...)
		return
	}
	e.versions.ApplyStatuses(batch.Next, statuses...)
}
