// Package sessions resolves the pins of a session: the model versions on which all
// its requests run. It looks them up in the caller's token, in this instance's
// table, and at the instances that own the session. A new session is created at
// its first reachable owner, or at this instance if no owner is reachable.
package sessions

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/session"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	tableShards = 16
	// sessionTTL is how long an unused session is kept.
	sessionTTL = 24 * time.Hour
	// ownersPerSession is the number of instances that own a session.
	ownersPerSession = 2
	// appendInterval is the time between appends of new sessions' pins to the log.
	appendInterval = time.Second
)

// ErrForeignToken is returned for a token of another account or session.
var ErrForeignToken = eris.New("sessions: token belongs to another account or session")

// Peers provides the instances of the fleet and their liveness.
type Peers interface {
	Self() membership.Peer
	All() []membership.Peer
}

// Lookups looks up sessions at peers.
type Lookups interface {
	LookupSession(ctx context.Context, address string, request *peerpb.LookupSessionRequest) (*peerpb.LookupSessionReply, error)
}

// Policies provides the policy in force.
type Policies interface {
	Policy() *document.Policy
}

// Writer appends entries to the sessions stream.
type Writer interface {
	Add(entry platform.Entry) error
}

// Sessions stores and resolves the pins of sessions. It is safe for concurrent
// use.
type Sessions struct {
	key      []byte
	table    *session.Table
	policies Policies
	exposer  session.Exposer
	peers    Peers
	lookups  Lookups
	writer   Writer

	mu            sync.Mutex
	pendingPins   []session.PinSet
	entrySequence atomic.Uint64
}

// New returns an empty store. capacity bounds the number of stored sessions. Tokens
// are signed with the key.
func New(key []byte, capacity int, policies Policies, exposer session.Exposer, peers Peers, lookups Lookups, writer Writer) *Sessions {
	return &Sessions{
		key:      key,
		table:    session.NewTable(capacity, tableShards, sessionTTL),
		policies: policies,
		exposer:  exposer,
		peers:    peers,
		lookups:  lookups,
		writer:   writer,
	}
}

// Query describes one request whose pins are to be resolved.
type Query struct {
	Account document.AccountID
	// Session and Token identify the session; either may be empty.
	Session session.ID
	Token   string
	// Models are the models that the request may use.
	Models []document.ModelName
}

// Found is the result of a [Query].
type Found struct {
	Pins session.PinSet
	// Created reports whether this request created the session. It is also true
	// for a request without a session.
	Created bool
}

// Resolve returns the pins of the query's session, and creates the session if
// neither this instance nor an owner that replies knows it. The error is
// session.ErrToken or [ErrForeignToken].
func (s *Sessions) Resolve(ctx context.Context, query Query) (Found, error) {
	if query.Token != "" {
		pins, err := s.verifyToken(query.Account, query.Session, query.Token)
		return Found{Pins: pins}, err
	}
	if pins, ok := s.table.Lookup(query.Account, query.Session, time.Now()); ok {
		return Found{Pins: pins}, nil
	}
	found := s.lookupAtOwners(ctx, query)
	found.Pins = s.table.Adopt(found.Pins, time.Now())
	return found, nil
}

// Token returns the signed token that carries a session's pins.
func (s *Sessions) Token(pins session.PinSet) string { return session.Sign(s.key, pins) }

// SingleRequest returns the pins of a request without a session.
func (s *Sessions) SingleRequest(query Query, requestID string) Found {
	pins := session.NewPinSet(s.policies.Policy(), s.exposer, query.Account, session.ID(requestID), time.Now(), query.Models...)
	return Found{Pins: pins, Created: true}
}

// Len returns the number of sessions in the table.
func (s *Sessions) Len() int { return s.table.Len() }

func (s *Sessions) verifyToken(account document.AccountID, id session.ID, token string) (session.PinSet, error) {
	pins, err := session.Verify(s.key, token)
	if err != nil {
		return session.PinSet{}, err
	}
	if pins.Account != account || (id != "" && id != pins.Session) {
		return session.PinSet{}, ErrForeignToken
	}
	return pins, nil
}

// lookupAtOwners asks the session's owners in order of rank. It creates the session
// at this instance if this instance is the next owner, or if no owner returns pins. A
// session created by an instance that is not its owner is not exposed to
// candidates, so that zones that are cut off from each other choose the same
// versions.
func (s *Sessions) lookupAtOwners(ctx context.Context, query Query) Found {
	ranked := s.rankOwners(query.Account, query.Session)
	request := &peerpb.LookupSessionRequest{Account: string(query.Account), Session: string(query.Session)}
	for _, model := range query.Models {
		request.Models = append(request.Models, string(model))
	}
	for _, owner := range ranked[:min(ownersPerSession, len(ranked))] {
		if owner.ID == s.peers.Self().ID {
			return Found{Pins: s.createSession(ctx, query, s.exposer, ranked), Created: true}
		}
		reply, err := s.lookups.LookupSession(ctx, owner.Address, request)
		if err != nil || !reply.Found {
			continue
		}
		if pins, ok := decodePins(reply.Birth); ok {
			return Found{Pins: pins, Created: reply.Born}
		}
	}
	return Found{Pins: s.createSession(ctx, query, session.NoExposure{}, ranked), Created: true}
}

// createSession creates a session, stores its pins, sends them to the session's
// other owners and queues them for the log. Pins in an owner's reply may be earlier
// ones, which take precedence.
func (s *Sessions) createSession(ctx context.Context, query Query, exposer session.Exposer, ranked []membership.Peer) session.PinSet {
	pins := session.NewPinSet(s.policies.Policy(), exposer, query.Account, query.Session, time.Now(), query.Models...)
	pins = s.table.Adopt(pins, time.Now())
	encoded, err := json.Marshal(pins)
	if err != nil {
		return pins
	}
	request := &peerpb.LookupSessionRequest{Account: string(query.Account), Session: string(query.Session), Birth: encoded}
	for _, owner := range ranked[:min(ownersPerSession, len(ranked))] {
		if owner.ID == s.peers.Self().ID {
			continue
		}
		reply, err := s.lookups.LookupSession(ctx, owner.Address, request)
		if err != nil {
			continue
		}
		if earlier, ok := decodePins(reply.Birth); ok {
			pins = s.table.Adopt(earlier, time.Now())
		}
	}
	s.enqueue(pins)
	return pins
}

// LookupSession implements cluster.Sessions. It adopts the pins that the request
// carries, or else creates the session if it is unknown, and returns the session's
// pins. Without a policy it returns none.
func (s *Sessions) LookupSession(request *peerpb.LookupSessionRequest) (*peerpb.LookupSessionReply, error) {
	if s.policies.Policy() == nil {
		return &peerpb.LookupSessionReply{}, nil
	}
	query := Query{Account: document.AccountID(request.Account), Session: session.ID(request.Session)}
	for _, model := range request.Models {
		query.Models = append(query.Models, document.ModelName(model))
	}
	pins, known := s.table.Lookup(query.Account, query.Session, time.Now())
	proposed, valid := decodePins(request.Birth)
	reply := &peerpb.LookupSessionReply{Found: true}
	switch {
	case valid && proposed.Account == query.Account && proposed.Session == query.Session:
		pins = s.table.Adopt(proposed, time.Now())
	case !known:
		pins = s.createSession(context.Background(), query, s.exposer, s.rankOwners(query.Account, query.Session))
		reply.Born = true
	}
	encoded, err := json.Marshal(pins)
	if err != nil {
		return nil, eris.Wrap(err, "sessions: encode pins")
	}
	reply.Birth = encoded
	return reply, nil
}

// rankOwners returns the live instances of the whole fleet, ordered by their rank
// for a session. The first ownersPerSession of them own it.
func (s *Sessions) rankOwners(account document.AccountID, id session.ID) []membership.Peer {
	self := s.peers.Self()
	ranked := []membership.Peer{self}
	for _, other := range s.peers.All() {
		if other.Liveness == membership.Alive {
			ranked = append(ranked, other)
		}
	}
	key := string(account) + "\x00" + string(id) + "\x00"
	sortByScore(ranked, func(p membership.Peer) uint64 { return xxhash.Sum64String(key + string(p.ID)) })
	return ranked
}

// Apply adopts the pins that records of the log contain.
func (s *Sessions) Apply(records []platform.Record) {
	now := time.Now()
	for _, record := range records {
		entries, err := platform.DecodeEntries(record.Payload)
		if err != nil {
			continue
		}
		for _, entry := range entries {
			s.applyEntry(now, entry)
		}
	}
}

func (s *Sessions) applyEntry(now time.Time, entry platform.Entry) {
	if entry.Kind != session.KindPinSets {
		return
	}
	created, err := session.DecodePinSets(entry.Body)
	if err != nil {
		return
	}
	for _, pins := range created {
		s.table.Adopt(pins, now)
	}
}

// enqueue adds pins to the next append, unless it is full.
func (s *Sessions) enqueue(pins session.PinSet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingPins) < session.MaxPinSetsPerEntry {
		s.pendingPins = append(s.pendingPins, pins)
	}
}

// Run appends the pins of new sessions to the log in batches and evicts expired
// sessions until the context ends.
func (s *Sessions) Run(ctx context.Context) error {
	return loop.Every(ctx, appendInterval, func(now time.Time) {
		s.flush()
		s.table.Sweep(now)
	})
}

func (s *Sessions) flush() {
	s.mu.Lock()
	pending := s.pendingPins
	s.pendingPins = nil
	s.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	self := s.peers.Self().ID
	id := "born/" + string(self) + "/" + strconv.FormatUint(s.entrySequence.Add(1), 10)
	entry, err := session.NewPinSetsEntry(id, self, pending)
	if err != nil {
		return
	}
	_ = s.writer.Add(entry)
}

func decodePins(encoded []byte) (session.PinSet, bool) {
	if len(encoded) == 0 {
		return session.PinSet{}, false
	}
	var pins session.PinSet
	if err := json.Unmarshal(encoded, &pins); err != nil {
		return session.PinSet{}, false
	}
	return pins, pins.Session != "" && len(pins.Pins) <= session.MaxPins
}
