package canary

// Sends counts the attempts at endpoints of a service since its roll-out was ordered.
type Sends struct {
	// Arrived counts the attempts that an endpoint of any version has answered.
	Arrived int
	// Exposed counts the attempts at the new version, from the moment at which they are
	// about to be sent.
	Exposed int
}

// RecordSend counts an attempt that is about to be sent to an endpoint of the version.
func (r *Rollout) RecordSend(version string) {
	if version == r.Order.Target {
		r.sends.Exposed++
	}
}

// RecordArrival counts an attempt that an endpoint has answered.
func (r *Rollout) RecordArrival() { r.sends.Arrived++ }

// RecordUnsent takes back [Rollout.RecordSend] for an attempt that was not sent.
func (r *Rollout) RecordUnsent(version string) {
	if version == r.Order.Target && r.sends.Exposed > 0 {
		r.sends.Exposed--
	}
}

// LocalSends returns the attempts of this instance.
func (r *Rollout) LocalSends() Sends { return r.sends }
