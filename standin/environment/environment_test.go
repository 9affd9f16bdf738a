package environment_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/wigeonusher/wigeonusher/standin/environment"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
)

func TestEveryEndpointIsListed(t *testing.T) {
	for _, name := range []string{"sheetline", "guild"} {
		t.Run(name, func(t *testing.T) {
			deployment := fixture.ByName(name)
			running, err := environment.Start(deployment, 1)
			assert.NilError(t, err)
			defer running.Close()
			want := len(deployment.Engines) + len(deployment.Desks)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if got := len(running.List.Listing().Endpoints); got != want {
					return poll.Continue("%d of %d endpoints listed", got, want)
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second))
			assert.Equal(t, len(running.History().Control), 1)
		})
	}
}
