package control_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/cmd/internal/control"
	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
	"github.com/wigeonusher/wigeonusher/standin/logservice"
	"github.com/wigeonusher/wigeonusher/wire/platformhttp"
)

// start serves a log that keeps three records.
func start(t *testing.T) (*logservice.Server, *control.Reader) {
	t.Helper()
	log := logservice.New(logservice.Config{Retention: logservice.Retention{Records: 3, Age: time.Hour}})
	assert.NilError(t, log.Listen("127.0.0.1:0"))
	t.Cleanup(func() { _ = log.Close() })
	return log, control.NewReader(platformhttp.NewLog(log.URL(), http.DefaultClient))
}

func appendEntries(t *testing.T, log *logservice.Server, entries ...platform.Entry) {
	t.Helper()
	payload, err := platform.EncodeEntries(entries)
	assert.NilError(t, err)
	log.Append(platform.StreamControl, payload)
}

func filler(t *testing.T, id string) platform.Entry {
	t.Helper()
	entry, err := platform.NewEntry(id, "other.kind", "i1", id)
	assert.NilError(t, err)
	return entry
}

// snapshotOf returns the snapshot entries of the stream as it is in the log.
func snapshotOf(t *testing.T, log *logservice.Server) []platform.Entry {
	t.Helper()
	stream := fold.NewStream(config.NewFold(document.Validate, nil))
	for _, record := range log.Records(platform.StreamControl) {
		assert.Assert(t, stream.Apply(record))
	}
	snapshot, err := stream.Snapshot()
	assert.NilError(t, err)
	entries, err := fold.Chunks(snapshot, "i1")
	assert.NilError(t, err)
	return entries
}

func TestReaderBeginsAtASnapshotWhenRecordsAreGone(t *testing.T) {
	log, reader := start(t)
	log.Append(platform.StreamControl, fixture.Sheetline().Payload())
	appendEntries(t, log, snapshotOf(t, log)...)
	for _, id := range []string{"a", "b"} {
		appendEntries(t, log, filler(t, id))
	}
	assert.Equal(t, log.Records(platform.StreamControl)[0].Offset, platform.Offset(2))
	assert.NilError(t, reader.CatchUp(t.Context()))
	assert.Equal(t, len(reader.Document().Sections), 6)
	assert.Equal(t, len(reader.Events()), 0)

	// A proposal against the restored document is accepted.
	name := document.SectionRouting
	proposal := config.Proposal{Section: name, Base: reader.Document().Base(name), Author: "ana", Body: reader.Document().Sections[name].Body}
	verdict, err := reader.Publish(t.Context(), "p1", proposal)
	assert.NilError(t, err)
	assert.Equal(t, verdict.Result, config.Accepted)
	assert.Equal(t, reader.Events()[0].Author, "ana")
}

func TestReaderWithoutASnapshotSaysSo(t *testing.T) {
	log, reader := start(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		appendEntries(t, log, filler(t, id))
	}
	assert.ErrorIs(t, reader.CatchUp(t.Context()), control.ErrNoSnapshot)
}

func TestPublishUnderTheSameIDCountsOnce(t *testing.T) {
	log, reader := start(t)
	log.Append(platform.StreamControl, fixture.Sheetline().Payload())
	assert.NilError(t, reader.CatchUp(t.Context()))
	name := document.SectionRouting
	proposal := config.Proposal{Section: name, Base: reader.Document().Base(name), Author: "ana", Body: reader.Document().Sections[name].Body}
	first, err := reader.Publish(t.Context(), "p1", proposal)
	assert.NilError(t, err)
	again, err := reader.Publish(t.Context(), "p1", proposal)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, again)
	assert.Equal(t, reader.Document().Revision, first.Revision)
}
