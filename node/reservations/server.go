package reservations

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// Server serves the reservation calls of peers for the endpoints that this
// instance owns.
type Server struct{ Client *Client }

// Reserve implements cluster.Slots.
func (s Server) Reserve(request *peerpb.ReserveRequest) *peerpb.ReserveReply {
	peer := platform.InstanceID(request.Instance)
	endpoint := platform.EndpointID(request.Endpoint)
	outstanding, granted := s.Client.loads.Reserve(time.Now(), peer, endpoint, int(request.Slots), request.InAnyCase)
	return &peerpb.ReserveReply{Outstanding: uint32(outstanding), Granted: granted}
}

// Release implements cluster.Slots.
func (s Server) Release(request *peerpb.ReleaseRequest) {
	s.Client.loads.Release(time.Now(), platform.InstanceID(request.Instance), platform.EndpointID(request.Endpoint))
}
