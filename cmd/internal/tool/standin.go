package tool

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/cmd/internal/fleet"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/standin/endpoint"
	"github.com/wigeonusher/wigeonusher/standin/engine"
	standins "github.com/wigeonusher/wigeonusher/standin/environment"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
	"github.com/wigeonusher/wigeonusher/standin/instancelist"
	"github.com/wigeonusher/wigeonusher/standin/logservice"
	"github.com/wigeonusher/wigeonusher/standin/ratings"
	"github.com/wigeonusher/wigeonusher/standin/service"
	"github.com/wigeonusher/wigeonusher/standin/weights"
)

// standinCommands groups the commands that serve stand-ins.
type standinCommands struct {
	Log       logStandin       `cmd:"" help:"The log service, in memory."`
	Instances instancesStandin `cmd:"" help:"The instance list."`
	Ratings   ratingsStandin   `cmd:"" help:"The rating service."`
	Weights   weightsStandin   `cmd:"" help:"The weight store."`
	Engine    engineStandin    `cmd:"" help:"A model engine."`
	Service   serviceStandin   `cmd:"" help:"A plain service."`
	All       allStandins      `cmd:"" help:"All that surrounds a built-in deployment, and settings for its instances."`
}

// standinServer is a stand-in of an outside system. The channel that Done returns
// is closed when the stand-in stops.
type standinServer interface {
	Listen(address string) error
	URL() string
	Done() <-chan struct{}
	Close() error
}

// servingMessage is the output of a stand-in that is ready to serve.
type servingMessage struct {
	Kind string `json:"kind"`
	URL  string `json:"url"`
}

// serve serves a stand-in until the tool is interrupted. It returns an error if the
// stand-in stops by itself.
func (e *environment) serve(kind, address string, standin standinServer) error {
	if err := standin.Listen(address); err != nil {
		return err
	}
	defer standin.Close()
	if err := e.printAddress(kind, standin.URL()); err != nil {
		return err
	}
	select {
	case <-e.ctx.Done():
		return nil
	case <-standin.Done():
		return eris.Errorf("stand-in %s crashed on a marked request", kind)
	}
}

func (e *environment) printAddress(kind, url string) error {
	line := servingMessage{Kind: kind, URL: url}
	if e.json {
		return e.printLine(line)
	}
	_, err := fmt.Fprintf(e.out, "%s at %s\n", line.Kind, line.URL)
	return err
}

// addressArgument contains the flags that all commands for a single stand-in
// share.
type addressArgument struct {
	Address string `help:"Loopback IP number and port; port 0 takes a free one." default:"127.0.0.1:0"`
	Seed    uint64 `help:"Seed of the faults." default:"1"`
}

// logStandin serves the log service.
type logStandin struct {
	addressArgument
	AppendsPerSecond float64       `help:"Most appends per second." default:"500"`
	RetentionRecords int           `help:"Records kept per stream." default:"1000000"`
	RetentionAge     time.Duration `help:"How long a record is kept." default:"1h"`
	Deployment       string        `help:"Begin with the document of a built-in deployment: sheetline or guild." enum:",sheetline,guild" default:""`
}

// Help implements kong.HelpProvider.
func (logStandin) Help() string {
	return `Example:
  wigeonusher standin log --address 127.0.0.1:7000 --deployment sheetline
  curl -d '{"down":true}' http://127.0.0.1:7000/faults`
}

// Run serves until interrupted.
func (c *logStandin) Run(env *environment) error {
	standin := logservice.New(logservice.Config{
		Seed:             c.Seed,
		AppendsPerSecond: c.AppendsPerSecond,
		Retention:        logservice.Retention{Records: c.RetentionRecords, Age: c.RetentionAge},
	})
	if deployment := fixture.ByName(c.Deployment); deployment != nil {
		standin.Append(platform.StreamControl, deployment.ControlPayload())
	}
	return env.serve("log", c.Address, standin)
}

// instancesStandin serves the instance list.
type instancesStandin struct {
	addressArgument
	Lag        time.Duration `help:"How old the listing may be that readers see." default:"500ms"`
	TimeToLive time.Duration `help:"How long a row stays without renewal." default:"3s"`
}

// Run serves until interrupted.
func (c *instancesStandin) Run(env *environment) error {
	return env.serve("instances", c.Address, instancelist.New(instancelist.Config{Seed: c.Seed, Lag: c.Lag, TimeToLive: c.TimeToLive}))
}

// ratingsStandin serves the rating service.
type ratingsStandin struct {
	addressArgument
	Delay time.Duration `help:"How long an answer waits for its rating." default:"200ms"`
	Share float64       `help:"Share of answers that are rated." default:"0.9"`
}

// Run serves until interrupted.
func (c *ratingsStandin) Run(env *environment) error {
	return env.serve("ratings", c.Address, ratings.New(ratings.Config{Seed: c.Seed, Delay: c.Delay, Share: c.Share}))
}

// weightsStandin serves the weight store.
type weightsStandin struct {
	addressArgument
	BytesPerSecond float64 `help:"Rate of loads." default:"10e9"`
}

// Run serves until interrupted.
func (c *weightsStandin) Run(env *environment) error {
	return env.serve("weights", c.Address, weights.New(weights.Config{Seed: c.Seed, BytesPerSecond: c.BytesPerSecond}))
}

// endpointArguments contains the flags that engines and services share.
type endpointArguments struct {
	addressArgument
	ID            string `help:"Endpoint ID; a new one for each run." required:""`
	Pool          string `help:"Pool of the endpoint." required:""`
	Zone          string `help:"Availability zone of the endpoint." required:""`
	List          string `help:"Base URL of the instance list to announce to." placeholder:"URL"`
	Slots         int    `help:"Requests that run side by side." default:"8"`
	ChecksFencing bool   `help:"Refuse old fencing numbers."`
}

func (a endpointArguments) identity() endpoint.Identity {
	return endpoint.Identity{
		ID:           platform.EndpointID(a.ID),
		Pool:         platform.PoolName(a.Pool),
		Zone:         platform.Zone(a.Zone),
		InstanceList: a.List,
	}
}

// engineStandin serves an engine.
type engineStandin struct {
	endpointArguments
	Loaded     []string `help:"Model versions loaded at the start, as model@version."`
	Deployment string   `help:"Take the models' quality and speed from a built-in deployment: sheetline or guild." enum:",sheetline,guild" default:""`
}

// Help implements kong.HelpProvider.
func (engineStandin) Help() string {
	return `Example:
  wigeonusher standin engine --id small-01 --pool small --zone bagmati-a --loaded cheap@v1 \
      --list http://127.0.0.1:7001 --deployment sheetline`
}

// Run serves until interrupted.
func (c *engineStandin) Run(env *environment) error {
	config := engine.Config{
		Seed:          c.Seed,
		Identity:      c.identity(),
		Slots:         c.Slots,
		Loaded:        c.Loaded,
		ChecksFencing: c.ChecksFencing,
	}
	if deployment := fixture.ByName(c.Deployment); deployment != nil {
		config.Profiles = deployment.Profiles
		if len(c.Loaded) == 0 {
			config.Loaded = deployment.ServedVersions(config.Pool)
		}
	}
	return env.serve("engine", c.Address, engine.New(config))
}

// serviceStandin serves a plain service.
type serviceStandin struct {
	endpointArguments
	Work time.Duration `help:"How long a call runs." default:"5ms"`
}

// Run serves until interrupted.
func (c *serviceStandin) Run(env *environment) error {
	return env.serve("service", c.Address, service.New(service.Config{
		Seed:          c.Seed,
		Identity:      c.identity(),
		Slots:         c.Slots,
		RunTime:       c.Work,
		ChecksFencing: c.ChecksFencing,
	}))
}

// allStandins serves all outside systems of a deployment.
type allStandins struct {
	Deployment string `help:"Shape of the deployment: sheetline or guild." enum:"sheetline,guild" default:"sheetline"`
	Seed       uint64 `help:"Seed of the answers and the faults." default:"1"`
	Settings   string `help:"Directory for a settings file per instance." type:"path"`
	CallerPort int    `help:"First callers' port in the settings files." default:"8001"`
	PeerPort   int    `help:"First peers' port in the settings files." default:"8101"`
	AdminPort  int    `help:"First admin port in the settings files." default:"8201"`
}

// Help implements kong.HelpProvider.
func (allStandins) Help() string {
	return `Example, a fleet of separate processes:
  wigeonusher standin all --deployment sheetline --settings fleet &
  for f in fleet/*.json; do wigeonusherd $f & done
  wigeonusher load --deployment sheetline --caller 127.0.0.1:8001 --caller 127.0.0.1:8002`
}

// Run writes the settings files, if requested, and serves until interrupted.
func (c *allStandins) Run(env *environment) error {
	running, err := standins.Start(fixture.ByName(c.Deployment), c.Seed)
	if err != nil {
		return err
	}
	defer running.Close()
	if c.Settings != "" {
		if err := c.writeSettings(running); err != nil {
			return err
		}
	}
	for _, line := range []servingMessage{
		{"log", running.Log.URL()},
		{"instances", running.InstanceList.URL()},
		{"ratings", running.Ratings.URL()},
		{"weights", running.Weights.URL()},
	} {
		if err := env.printAddress(line.Kind, line.URL); err != nil {
			return err
		}
	}
	<-env.ctx.Done()
	return nil
}

func (c *allStandins) writeSettings(running *standins.Environment) error {
	const directoryMode = 0o755
	if err := os.MkdirAll(c.Settings, directoryMode); err != nil {
		return eris.Wrap(err, "create settings directory")
	}
	ports := fleet.Ports{Caller: c.CallerPort, Peer: c.PeerPort, Admin: c.AdminPort}
	for index, instance := range running.Deployment.Instances {
		s := fleet.SettingsFor(running, index, ports)
		err := writeFile(filepath.Join(c.Settings, instance.Name+".json"), func(w io.Writer) error {
			encoder := json.NewEncoder(w)
			encoder.SetIndent("", "  ")
			return eris.Wrap(encoder.Encode(s), "write settings")
		})
		if err != nil {
			return err
		}
	}
	return nil
}
