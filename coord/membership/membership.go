package membership

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Liveness is the state of a peer in this instance's view.
type Liveness string

// States of a peer.
const (
	// Unconfirmed is the state of a peer that has not sent a digest yet. It is
	// known only from the instance list, a seed or another peer.
	Unconfirmed Liveness = "unheard"
	Alive       Liveness = "alive"
	Suspect     Liveness = "suspect"
	Dead        Liveness = "dead"
	// Left is the state of this instance after [Peers.Leave]. Other instances
	// that leave are removed from the table.
	Left Liveness = "left"
)

// Peer is an instance in this instance's view. It also describes this instance
// itself, see [Peers.Self].
type Peer struct {
	ID       platform.InstanceID `json:"id"`
	Zone     platform.Zone       `json:"zone"`
	Address  string              `json:"address"`
	Liveness Liveness            `json:"liveness"`
	LastSeen time.Time           `json:"last_seen"`
	// ControlNext is the next offset of the control stream that the peer needs.
	ControlNext platform.Offset `json:"control_next"`
}

// EndpointState is the state of an endpoint in this instance's view.
type EndpointState string

// States of an endpoint. Leaving is final.
const (
	EndpointLive    EndpointState = "live"
	EndpointLeaving EndpointState = "leaving"
	EndpointDown    EndpointState = "down"
)

// Endpoint is a listed endpoint with its state in this instance's view.
type Endpoint struct {
	platform.ListedEndpoint
	LocalState EndpointState `json:"belief"`
}
