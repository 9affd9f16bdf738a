package node_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestVersionLoadedOnOneEndpointIsServed sends requests for a version that one
// of five endpoints has loaded, through two instances that each poll a part of
// them.
func TestVersionLoadedOnOneEndpointIsServed(t *testing.T) {
	f := newFleet(t)
	f.addEngines(4, "models", "small@v1")
	f.addEngines(1, "models", "small@v1", "small@v2")
	f.publishDefault()
	nodes := []*runningNode{f.startReady("a"), f.startReady("a")}
	for _, n := range nodes {
		f.eventually("peers are alive", func() bool { return alivePeers(n) == 1 })
		f.eventually("all endpoints are known", func() bool { return len(n.Status().Endpoints) == 5 })
	}
	served := func(n *runningNode) bool {
		return f.chat(n.Node, chatBody("small@v2", false)).status == http.StatusOK
	}
	inARow := 0
	f.eventually("the loaded versions are known at both instances", func() bool {
		inARow++
		if !served(nodes[inARow%2]) {
			inARow = 0
		}
		return inARow >= 30
	})
	for i := range 20 {
		assert.Assert(t, served(nodes[i%2]))
	}
}
