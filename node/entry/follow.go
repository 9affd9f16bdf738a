package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/tailer"
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

func (e *Entry) operatorTailer() *tailer.Tailer {
	return tailer.New(tailer.Config{
		Log: e.platform.Log(), Topic: e.platform.Topics().Operator, Wait: operatorWait, Apply: e.applyOperator, Logger: e.log,
	})
}

func (e *Entry) registryTailer() *tailer.Tailer {
	return tailer.New(tailer.Config{
		Log: e.platform.Log(), Topic: e.platform.Topics().Registry, Wait: registryWait,
		Pace: e.registryPace, Apply: e.applyRegistry, Logger: e.log,
	})
}

func (e *Entry) registryPace() time.Duration {
	return time.Duration(registryPart * float64(millis(e.live.Load().Bounds.EndpointDrainMillis)))
}

func (e *Entry) statusTailer() *tailer.Tailer {
	return tailer.New(tailer.Config{
		Log: e.platform.Log(), Topic: e.platform.Topics().Status, Wait: statusWait, Apply: e.applyStatus, Logger: e.log,
	})
}

// storeDisturbed reports whether the store has not answered lately. A read of
// the registry may wait through a short outage without noticing it, while
// entries run out.
func (e *Entry) storeDisturbed() bool {
	return boottime.Since(boottime.Instant(e.answeredAt.Load())) > operatorWait+answerSlack
}

func (e *Entry) applyOperator(batch tailer.Batch) {
	if batch.Regained {
		e.pools.Regained(time.Now())
	}
	for _, change := range batch.Changes {
		table, err := e.platform.DecodeTable(change)
		if err != nil {
			e.log.WithError(err).WithField("key", change.Key).Error("configuration not understood; the former stays in force")
		}
		if table != nil {
			e.adopt(table)
		}
		order, err := e.platform.DecodeOrder(change)
		if err != nil {
			e.log.WithError(err).WithField("key", change.Key).Error("order of a roll-out not understood")
		}
		if order != nil {
			e.versions.Order(*order)
		}
	}
	e.provenAt.Store(int64(batch.Sent))
	e.answeredAt.Store(int64(boottime.Now()))
}

// adopt puts a table in force. Revisions only go forward.
func (e *Entry) adopt(table *route.Table) {
	former := e.table.Load()
	if former != nil && former.Revision >= table.Revision {
		return
	}
	e.table.Store(table)
	fields := logrus.Fields{"revision": table.Revision, "routes": table.Routes()}
	if former != nil {
		fields["former"] = former.Revision
	}
	e.log.WithFields(fields).Info("configuration in force")
}

func (e *Entry) applyRegistry(batch tailer.Batch) {
	now := time.Now()
	if batch.Regained || e.storeDisturbed() {
		e.pools.Regained(now)
	}
	for _, change := range batch.Changes {
		id := platform.EndpointID(change.Key)
		if change.Value == nil {
			e.pools.Remove(now, id)
			continue
		}
		record, err := e.platform.DecodeEndpoint(change)
		if err != nil {
			e.log.WithError(err).WithField("endpoint", change.Key).Warn("entry of the registry is not usable")
			continue
		}
		e.pools.Put(record)
	}
}

func (e *Entry) applyStatus(batch tailer.Batch) {
	var statuses []canary.Status
	for _, change := range batch.Changes {
		status, err := e.platform.DecodeStatus(change)
		if err != nil {
			e.log.WithError(err).WithField("key", change.Key).Error("state of a roll-out not understood")
			continue
		}
		if status != nil {
			statuses = append(statuses, *status)
		}
	}
	e.versions.Agreed(batch.Next, statuses...)
}
