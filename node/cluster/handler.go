package cluster

import (
	"context"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// Records serves reads of the records that this instance holds.
type Records interface {
	ReadRecords(ctx context.Context, request *peerpb.ReadRecordsRequest) (*peerpb.ReadRecordsReply, error)
}

// Copies holds backup copies of peers' entries.
type Copies interface {
	HoldEntries(request *peerpb.HoldEntriesRequest) (*peerpb.HoldEntriesReply, error)
}

// Sessions serves lookups of sessions.
type Sessions interface {
	LookupSession(request *peerpb.LookupSessionRequest) (*peerpb.LookupSessionReply, error)
}

// Slots serves reservations at the endpoints that this instance owns.
type Slots interface {
	Reserve(request *peerpb.ReserveRequest) *peerpb.ReserveReply
	Release(request *peerpb.ReleaseRequest)
}

// Handler serves the peer protocol.
type Handler struct {
	peerpb.DRPCPeerUnimplementedServer
	Cluster  *Cluster
	Records  Records
	Copies   Copies
	Sessions Sessions
	Slots    Slots
}

// Exchange implements peer.Handler.
func (h *Handler) Exchange(_ context.Context, digest *peerpb.Digest) (*peerpb.Digest, error) {
	h.Cluster.HandleDigest(digest)
	return h.Cluster.Digest(platform.InstanceID(digest.Instance)), nil
}

// ReadRecords implements peer.Handler.
func (h *Handler) ReadRecords(ctx context.Context, request *peerpb.ReadRecordsRequest) (*peerpb.ReadRecordsReply, error) {
	return h.Records.ReadRecords(ctx, request)
}

// HoldEntries implements peer.Handler.
func (h *Handler) HoldEntries(_ context.Context, request *peerpb.HoldEntriesRequest) (*peerpb.HoldEntriesReply, error) {
	return h.Copies.HoldEntries(request)
}

// LookupSession implements peer.Handler.
func (h *Handler) LookupSession(_ context.Context, request *peerpb.LookupSessionRequest) (*peerpb.LookupSessionReply, error) {
	return h.Sessions.LookupSession(request)
}

// Reserve implements peer.Handler.
func (h *Handler) Reserve(_ context.Context, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return h.Slots.Reserve(request), nil
}

// Release implements peer.Handler.
func (h *Handler) Release(_ context.Context, request *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	h.Slots.Release(request)
	return &peerpb.ReleaseReply{}, nil
}
