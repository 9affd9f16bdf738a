// Package sessions finds the birth of a session, wherever it is remembered: in
// the caller's token, in this instance's table, or at the session's owner
// among the instances. A new session is born at its owner.
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
	// timeToLive is how long an unused session is remembered.
	timeToLive = 24 * time.Hour
	// owners is the number of instances that remember a session.
	owners = 2
	// appendInterval is the time between appends of births.
	appendInterval = time.Second
)

// ErrForeignToken reports a token of another account or session.
var ErrForeignToken = eris.New("sessions: token belongs to another account or session")

// Peers tells who is alive.
type Peers interface {
	Self() membership.Peer
	All() []membership.Peer
}

// Lookups asks a peer for a session.
type Lookups interface {
	LookupSession(ctx context.Context, address string, request *peerpb.LookupSessionRequest) (*peerpb.LookupSessionReply, error)
}

// Policies gives the policy in force.
type Policies interface {
	Policy() *document.Policy
}

// Writer appends entries to the sessions stream.
type Writer interface {
	Add(entry platform.Entry) error
}

// Sessions remembers sessions. Its methods may be called from several
// goroutines.
type Sessions struct {
	key      []byte
	table    *session.Table
	policies Policies
	exposer  session.Exposer
	peers    Peers
	lookups  Lookups
	writer   Writer

	mu      sync.Mutex
	births  []session.Birth
	entries atomic.Uint64
}

// New returns sessions that remember at most capacity of them.
func New(key []byte, capacity int, policies Policies, exposer session.Exposer, peers Peers, lookups Lookups, writer Writer) *Sessions {
	return &Sessions{
		key:      key,
		table:    session.NewTable(capacity, tableShards, timeToLive),
		policies: policies,
		exposer:  exposer,
		peers:    peers,
		lookups:  lookups,
		writer:   writer,
	}
}

// Query asks for the versions of one request.
type Query struct {
	Account document.AccountID
	// Session and Token name the session; either may be empty.
	Session session.ID
	Token   string
	// Models are those that the request may use.
	Models []document.ModelName
}

// Found is the answer to a [Query].
type Found struct {
	Birth session.Birth
	// Fresh tells that the session was born by this request.
	Fresh bool
}

// Resolve returns the birth of the session that the query names. The error is
// session.ErrToken or [ErrForeignToken].
func (s *Sessions) Resolve(ctx context.Context, query Query) (Found, error) {
	if query.Token != "" {
		birth, err := s.fromToken(query.Account, query.Session, query.Token)
		return Found{Birth: birth}, err
	}
	if birth, ok := s.table.Lookup(query.Account, query.Session, time.Now()); ok {
		return Found{Birth: birth}, nil
	}
	found := s.fromOwners(ctx, query)
	found.Birth = s.table.Adopt(found.Birth, time.Now())
	return found, nil
}

// Token returns the signed token of a birth.
func (s *Sessions) Token(birth session.Birth) string { return session.Sign(s.key, birth) }

// Single returns pins for a request outside any session.
func (s *Sessions) Single(query Query, requestID string) Found {
	birth := session.NewBirth(s.policies.Policy(), s.exposer, query.Account, session.ID(requestID), time.Now(), query.Models...)
	return Found{Birth: birth, Fresh: true}
}

// Len returns the number of sessions remembered.
func (s *Sessions) Len() int { return s.table.Len() }

func (s *Sessions) fromToken(account document.AccountID, id session.ID, token string) (session.Birth, error) {
	birth, err := session.Verify(s.key, token)
	if err != nil {
		return session.Birth{}, err
	}
	if birth.Account != account || (id != "" && id != birth.Session) {
		return session.Birth{}, ErrForeignToken
	}
	return birth, nil
}

// fromOwners asks the session's owners in turn, and lets the session be born
// here if none answers. A session born without its owners meets no candidate,
// so that zones cut off from each other still choose alike.
func (s *Sessions) fromOwners(ctx context.Context, query Query) Found {
	ranked := s.rank(query.Account, query.Session)
	request := &peerpb.LookupSessionRequest{Account: string(query.Account), Session: string(query.Session)}
	for _, model := range query.Models {
		request.Models = append(request.Models, string(model))
	}
	for _, owner := range ranked[:min(owners, len(ranked))] {
		if owner.ID == s.peers.Self().ID {
			return Found{Birth: s.create(ctx, query, s.exposer, ranked), Fresh: true}
		}
		reply, err := s.lookups.LookupSession(ctx, owner.Address, request)
		if err != nil || !reply.Found {
			continue
		}
		if birth, ok := decodeBirth(reply.Birth); ok {
			return Found{Birth: birth, Fresh: reply.Born}
		}
	}
	return Found{Birth: s.create(ctx, query, session.NoExposure{}, ranked), Fresh: true}
}

// create makes the birth of a session, remembers it and tells the other owner,
// which may know an earlier one.
func (s *Sessions) create(ctx context.Context, query Query, exposer session.Exposer, ranked []membership.Peer) session.Birth {
	birth := session.NewBirth(s.policies.Policy(), exposer, query.Account, query.Session, time.Now(), query.Models...)
	birth = s.table.Adopt(birth, time.Now())
	encoded, err := json.Marshal(birth)
	if err != nil {
		return birth
	}
	request := &peerpb.LookupSessionRequest{Account: string(query.Account), Session: string(query.Session), Birth: encoded}
	for _, owner := range ranked[:min(owners, len(ranked))] {
		if owner.ID == s.peers.Self().ID {
			continue
		}
		reply, err := s.lookups.LookupSession(ctx, owner.Address, request)
		if err != nil {
			continue
		}
		if known, ok := decodeBirth(reply.Birth); ok {
			birth = s.table.Adopt(known, time.Now())
		}
	}
	s.queue(birth)
	return birth
}

// LookupSession implements cluster.Sessions: it returns the session's birth,
// and lets a session be born that nobody knows.
func (s *Sessions) LookupSession(request *peerpb.LookupSessionRequest) (*peerpb.LookupSessionReply, error) {
	if s.policies.Policy() == nil {
		return &peerpb.LookupSessionReply{}, nil
	}
	query := Query{Account: document.AccountID(request.Account), Session: session.ID(request.Session)}
	for _, model := range request.Models {
		query.Models = append(query.Models, document.ModelName(model))
	}
	birth, known := s.table.Lookup(query.Account, query.Session, time.Now())
	told, valid := decodeBirth(request.Birth)
	reply := &peerpb.LookupSessionReply{Found: true}
	switch {
	case valid && told.Account == query.Account && told.Session == query.Session:
		birth = s.table.Adopt(told, time.Now())
	case !known:
		birth = s.create(context.Background(), query, s.exposer, s.rank(query.Account, query.Session))
		reply.Born = true
	}
	encoded, err := json.Marshal(birth)
	if err != nil {
		return nil, eris.Wrap(err, "sessions: encode birth")
	}
	reply.Birth = encoded
	return reply, nil
}

// rank orders the live instances of the whole fleet for a session.
func (s *Sessions) rank(account document.AccountID, id session.ID) []membership.Peer {
	self := s.peers.Self()
	candidates := []membership.Peer{self}
	for _, other := range s.peers.All() {
		if other.Liveness == membership.Alive {
			candidates = append(candidates, other)
		}
	}
	key := string(account) + "\x00" + string(id) + "\x00"
	sortByScore(candidates, func(p membership.Peer) uint64 { return xxhash.Sum64String(key + string(p.ID)) })
	return candidates
}

// Apply takes in births read from the log.
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
	if entry.Kind != session.KindBorn {
		return
	}
	births, err := session.DecodeBorn(entry.Body)
	if err != nil {
		return
	}
	for _, birth := range births {
		s.table.Adopt(birth, now)
	}
}

// queue keeps a birth for the next append.
func (s *Sessions) queue(birth session.Birth) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.births) < session.MaxBirthsPerEntry {
		s.births = append(s.births, birth)
	}
}

// Run appends births in batches until the context ends.
func (s *Sessions) Run(ctx context.Context) error {
	return loop.Every(ctx, appendInterval, func(now time.Time) {
		s.flush()
		s.table.Sweep(now)
	})
}

func (s *Sessions) flush() {
	s.mu.Lock()
	births := s.births
	s.births = nil
	s.mu.Unlock()
	if len(births) == 0 {
		return
	}
	self := s.peers.Self().ID
	id := "born/" + string(self) + "/" + strconv.FormatUint(s.entries.Add(1), 10)
	entry, err := session.NewBornEntry(id, self, births)
	if err != nil {
		return
	}
	_ = s.writer.Add(entry)
}

func decodeBirth(encoded []byte) (session.Birth, bool) {
	if len(encoded) == 0 {
		return session.Birth{}, false
	}
	var birth session.Birth
	if err := json.Unmarshal(encoded, &birth); err != nil {
		return session.Birth{}, false
	}
	return birth, birth.Session != "" && len(birth.Pins) <= session.MaxPins
}
