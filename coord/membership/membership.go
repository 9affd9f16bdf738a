package membership

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Liveness is the belief about a peer.
type Liveness string

// Beliefs about a peer.
const (
	// Unheard peers are known by hearsay only: from the instance list, a
	// seed or another peer.
	Unheard Liveness = "unheard"
	Alive   Liveness = "alive"
	Suspect Liveness = "suspect"
	Dead    Liveness = "dead"
	Left    Liveness = "left"
)

// Peer is another instance of the system.
type Peer struct {
	ID       platform.InstanceID `json:"id"`
	Zone     platform.Zone       `json:"zone"`
	Address  string              `json:"address"`
	Liveness Liveness            `json:"liveness"`
	LastSeen time.Time           `json:"last_seen"`
	// ControlNext is the offset that the peer wants next of the control stream.
	ControlNext platform.Offset `json:"control_next"`
}

// EndpointState is the belief about an endpoint.
type EndpointState string

// Beliefs about an endpoint. Leaving never turns back to live.
const (
	EndpointLive    EndpointState = "live"
	EndpointLeaving EndpointState = "leaving"
	EndpointDown    EndpointState = "down"
)

// Endpoint is an endpoint with what is believed of it.
type Endpoint struct {
	platform.ListedEndpoint
	Belief EndpointState `json:"belief"`
}
