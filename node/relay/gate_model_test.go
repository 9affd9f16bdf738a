package relay

import (
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// revocation is an instance that reads the configuration from a store, one read
// after the other, while the operator takes a key away and all stands still now
// and then.
type revocation struct {
	now boottime.Instant
	// revoked is when the key was taken away; 0 before.
	revoked boottime.Instant

	// What the instance has, and since when it is proved.
	table  *route.Table
	proven boottime.Instant
}

// pass lets time go by, in which the key may be taken away, once in so many
// times.
func (r *revocation) pass(t *rapid.T, name string, onceIn int) {
	step := boottime.Instant(time.Duration(rapid.IntRange(0, 3500).Draw(t, name)) * time.Millisecond)
	if r.revoked == 0 && rapid.IntRange(1, onceIn).Draw(t, "revoked") == 1 {
		r.revoked = r.now + step/2
	}
	r.now += step
}

const revocationMaxAge = 4 * time.Second

func (r *revocation) Table() (*route.Table, boottime.Instant) { return r.table, r.proven }

// stored is the table that the store has now.
func (r *revocation) stored() *route.Table {
	keys := map[string]*route.Account{}
	if r.revoked == 0 {
		keys[testKey] = &route.Account{Name: "account-1"}
	}
	return route.NewTable(1, route.Limits{}, []*route.Route{testRoute(route.Idempotent)}, nil, keys)
}

// TestRevokedKeyIsDeniedInTime: however long reads, answers and the process
// itself take, a request that comes later than the greatest age after its key
// was taken away is not admitted. A table proves itself current from the
// moment at which its read was sent; from the moment of its answer, this fails.
func TestRevokedKeyIsDeniedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &revocation{now: boottime.Instant(time.Hour)}
		r.table, r.proven = r.stored(), r.now
		gate := &TableGate{Tables: r, MaxAge: func() time.Duration { return revocationMaxAge }}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { r.pass(t, "time", 20) },
			"read": func(t *rapid.T) {
				sent := r.now
				r.pass(t, "way there", 20)
				saw := r.stored()
				r.pass(t, "way back", 3)
				if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
					r.table, r.proven = saw, sent
				}
			},
			"": func(t *rapid.T) {
				request := &Request{Method: http.MethodGet, Host: "h", Path: "/p/x", Key: testKey, ReceivedBoot: r.now}
				if rapid.IntRange(0, 9).Draw(t, "stands still before the gate") == 0 {
					r.pass(t, "pause", 20)
				}
				if _, refusal := gate.Admit(request); refusal != nil {
					return
				}
				if r.revoked != 0 && request.ReceivedBoot-r.revoked > boottime.Instant(revocationMaxAge) {
					t.Fatalf("admitted %s after its key was taken away", time.Duration(request.ReceivedBoot-r.revoked))
				}
			},
		})
	})
}
