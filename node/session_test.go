package node_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// turn sends a turn of a session and returns the version that answered.
func (f *fleet) turn(n *runningNode, headers ...header) (string, http.Header) {
	f.t.Helper()
	got := f.chat(n.Node, chatBody("small", false), headers...)
	assert.Equal(f.t, got.status, http.StatusOK, got.body)
	return got.header.Get("Wigeonusher-Model"), got.header
}

// stable returns the models section with another stable version of small.
func stable(version document.VersionName) map[document.ModelName]document.Model {
	section := models(document.VersionServing)
	small := section["small"]
	small.Stable = version
	section["small"] = small
	return section
}

func TestSessionsKeepTheirVersionAcrossInstances(t *testing.T) {
	f, nodes := newModels(t, 3, nil)
	tokens := map[string]string{}
	const sessions = 12
	for i := range sessions {
		id := fmt.Sprintf("s-%d", i)
		version, got := f.turn(nodes[i%3], header{"Session-Id", id})
		assert.Equal(t, version, "small@v1")
		tokens[id] = got.Get("Session-Token")
	}
	f.publish(document.SectionModels, stable("v2"))
	for _, n := range nodes {
		f.eventually("the new stable version is in force", func() bool {
			return revision(n.Node) == uint64(f.revisions[document.SectionModels])
		})
	}
	for i := range sessions {
		id := fmt.Sprintf("s-%d", i)
		next, _ := f.turn(nodes[(i+1)%3], header{"Session-Id", id})
		assert.Equal(t, next, "small@v1", id)
	}
	version, _ := f.turn(nodes[0])
	assert.Equal(t, version, "small@v2")
	nodes[0].Kill()
	f.eventually("the dead instance is noticed", func() bool {
		for _, peer := range nodes[1].Status().Peers {
			if peer.ID == nodes[0].ID() {
				return peer.Liveness != "alive"
			}
		}
		return true
	})
	for i := range sessions {
		id := fmt.Sprintf("s-%d", i)
		byName, _ := f.turn(nodes[1+i%2], header{"Session-Id", id})
		assert.Equal(t, byName, "small@v1", id)
		byToken, _ := f.turn(nodes[2-i%2], header{"Session-Token", tokens[id]})
		assert.Equal(t, byToken, "small@v1", id)
	}
}

func TestSessionOfAWithdrawnVersionEnds(t *testing.T) {
	f, nodes := newModels(t, 1, nil)
	f.publish(document.SectionModels, stable("v2"))
	f.eventually("v2 is stable", func() bool { return revision(nodes[0].Node) == uint64(f.revisions[document.SectionModels]) })
	version, got := f.turn(nodes[0], header{"Session-Id", "doomed"})
	assert.Equal(t, version, "small@v2")
	f.publish(document.SectionModels, models(document.VersionWithdrawn))
	f.eventually("v2 is withdrawn", func() bool { return revision(nodes[0].Node) == uint64(f.revisions[document.SectionModels]) })
	for _, h := range []header{{"Session-Id", "doomed"}, {"Session-Token", got.Get("Session-Token")}} {
		ended := f.chat(nodes[0].Node, chatBody("small", false), h)
		assert.Equal(t, ended.status, http.StatusGone, ended.body)
	}
}

func TestForeignTokensAreRefused(t *testing.T) {
	f, nodes := newModels(t, 1, nil)
	_, got := f.turn(nodes[0], header{"Session-Id", "mine"})
	token := got.Get("Session-Token")
	refused := f.chat(nodes[0].Node, chatBody("small", false), header{"Session-Id", "other"}, header{"Session-Token", token})
	assert.Equal(t, refused.status, http.StatusBadRequest, refused.body)
	refused = f.chat(nodes[0].Node, chatBody("small", false), header{"Session-Token", token[:len(token)-2] + "xx"})
	assert.Equal(t, refused.status, http.StatusBadRequest, refused.body)
}
