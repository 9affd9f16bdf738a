package history

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/standin/check"
	"github.com/wigeonusher/wigeonusher/standin/endpoint"
	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/service"
	"github.com/wigeonusher/wigeonusher/wire/platformhttp"
)

const recordsPerPage = 500

// Collector queries the stand-ins over HTTP.
type Collector struct {
	// Log and List are base URLs of the log service and the instance list.
	Log    string
	List   string
	Client *http.Client
}

// History returns the retained records of the bills and control streams, and the
// runs and late requests of the endpoints up to now. It does not query endpoints
// that are no longer listed, so the requests that they ran are missing.
func (c *Collector) History(ctx context.Context) (check.History, error) {
	var history check.History
	var err error
	if history.Bills, err = c.records(ctx, platform.StreamBills); err != nil {
		return history, err
	}
	if history.Control, err = c.records(ctx, platform.StreamControl); err != nil {
		return history, err
	}
	listing, err := platformhttp.NewInstanceList(c.List, c.Client).Listing(ctx)
	if err != nil {
		return history, err
	}
	for _, row := range listing.Endpoints {
		if err := c.addRuns(ctx, row.Address, &history); err != nil {
			return history, err
		}
	}
	return history, nil
}

// records returns the retained records of a stream.
func (c *Collector) records(ctx context.Context, stream platform.Stream) ([]platform.Record, error) {
	log := platformhttp.NewLog(c.Log, c.Client)
	var records []platform.Record
	for from := platform.Offset(1); ; {
		page, err := log.Read(ctx, stream, from, recordsPerPage)
		if eris.Is(err, platform.ErrTruncated) && page.First > from {
			from = page.First
			continue
		}
		if err != nil {
			return nil, err
		}
		records = append(records, page.Records...)
		from = page.Next
		if from >= page.End {
			return records, nil
		}
	}
}

// runsReply is the reply of an engine or a plain service to GET /runs.
type runsReply struct {
	Runs []json.RawMessage      `json:"runs"`
	Late []endpoint.LateRequest `json:"late"`
}

// addRuns adds the runs and the late requests of an endpoint to the history.
func (c *Collector) addRuns(ctx context.Context, address string, history *check.History) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
	if err != nil {
		return eris.Wrap(err, "history: build request")
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return eris.Wrap(err, "history: query endpoint")
	}
	defer response.Body.Close()
	var reply runsReply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return eris.Wrap(err, "history: decode runs")
	}
	history.LateRequests = append(history.LateRequests, reply.Late...)
	for _, raw := range reply.Runs {
		if err := addRun(raw, history); err != nil {
			return err
		}
	}
	return nil
}

// addRun adds a run to the history. A run that names a model version is an
// engine's, any other a plain service's.
func addRun(raw json.RawMessage, history *check.History) error {
	var engineRun engine.Run
	if err := json.Unmarshal(raw, &engineRun); err != nil {
		return eris.Wrap(err, "history: decode run")
	}
	if engineRun.Ref != "" {
		history.EngineRuns = append(history.EngineRuns, engineRun)
		return nil
	}
	var serviceRun service.Run
	if err := json.Unmarshal(raw, &serviceRun); err != nil {
		return eris.Wrap(err, "history: decode run")
	}
	history.ServiceRuns = append(history.ServiceRuns, serviceRun)
	return nil
}
