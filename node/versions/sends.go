package versions

import (
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// RecordSend implements [relay.Versions].
func (v *Versions) RecordSend(name route.ServiceName, version string) {
	v.withRollout(name, func(r *canary.Rollout) { r.RecordSend(version) })
}

// RecordArrival implements [relay.Versions].
func (v *Versions) RecordArrival(name route.ServiceName) {
	v.withRollout(name, func(r *canary.Rollout) { r.RecordArrival() })
}

// RecordUnsent implements [relay.Versions].
func (v *Versions) RecordUnsent(name route.ServiceName, version string) {
	v.withRollout(name, func(r *canary.Rollout) { r.RecordUnsent(version) })
}

// withRollout calls do with the service's latest roll-out, if there is one.
func (v *Versions) withRollout(name route.ServiceName, do func(*canary.Rollout)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.services[name]; s != nil && s.rollout != nil {
		do(s.rollout)
	}
}
