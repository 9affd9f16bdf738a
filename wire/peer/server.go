package peer

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// Handler answers the calls of other instances.
type Handler = peerpb.DRPCPeerServer

// Serve answers calls on the listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler); err != nil {
		return eris.Wrap(err, "peer: register")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return eris.Wrap(server.Serve(ctx, listener), "peer: serve")
}
