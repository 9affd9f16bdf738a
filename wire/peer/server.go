package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// Handler handles the calls of other instances.
type Handler = peerpb.DRPCPeerServer

// Serve accepts connections on the listener and passes their calls to the handler
// until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler); err != nil {
		return eris.Wrap(err, "peer: register")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	tracker := drpcctx.NewTracker(ctx)
	defer tracker.Wait()
	defer tracker.Cancel()
	tracker.Run(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close() // a listener that is closed already is what is wanted
	})
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			tracker.Run(func(ctx context.Context) {
				// An error ends the connection only; the caller sees it.
				_ = server.ServeOne(context.WithValue(ctx, callerKey{}, conn.RemoteAddr()), conn)
			})
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			time.Sleep(acceptRetryDelay)
		default:
			return eris.Wrap(err, "peer: accept")
		}
	}
}

// acceptRetryDelay is the pause after a connection that could not be accepted for a cause
// that may pass.
const acceptRetryDelay = 100 * time.Millisecond

// callerKey is the key of a caller's address in the context of a call.
type callerKey struct{}

// CallerIP returns the IP address from which a call comes, invalid if it is not known.
func CallerIP(ctx context.Context) netip.Addr {
	address, ok := ctx.Value(callerKey{}).(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return address.AddrPort().Addr().Unmap()
}
