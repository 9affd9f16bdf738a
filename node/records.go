package node

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/follow"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// recordReader serves peers' reads of the control and the intents stream.
type recordReader struct {
	control *follow.Follower
	intents *follow.Follower
}

// ReadRecords implements cluster.Records.
func (r *recordReader) ReadRecords(ctx context.Context, request *peerpb.ReadRecordsRequest) (*peerpb.ReadRecordsReply, error) {
	switch platform.Stream(request.Stream) {
	case platform.StreamControl:
		return r.control.ReadRecords(ctx, request)
	case platform.StreamIntents:
		return r.intents.ReadRecords(ctx, request)
	default:
		return nil, eris.Errorf("node: stream %q is not followed", request.Stream)
	}
}
