package directory

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// loadedVersions remembers which model versions endpoints have loaded, as
// hashes, so that digests stay small. A hash that two versions share costs one
// refused dispatch.
type loadedVersions struct {
	mu         sync.RWMutex
	byEndpoint map[platform.EndpointID][]uint32
}

func newLoadedVersions() *loadedVersions {
	return &loadedVersions{byEndpoint: map[platform.EndpointID][]uint32{}}
}

func hashOf(ref string) uint32 { return uint32(xxhash.Sum64String(ref)) }

// reported takes in an endpoint's own list of "model@version".
func (l *loadedVersions) reported(endpoint platform.EndpointID, refs []string) {
	hashes := make([]uint32, 0, len(refs))
	for _, ref := range refs {
		hashes = append(hashes, hashOf(ref))
	}
	l.told(endpoint, hashes)
}

// told takes in the hashes that a peer tells.
func (l *loadedVersions) told(endpoint platform.EndpointID, hashes []uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byEndpoint[endpoint] = hashes
}

// of returns the hashes of an endpoint, and whether they are known.
func (l *loadedVersions) of(endpoint platform.EndpointID) ([]uint32, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	hashes, known := l.byEndpoint[endpoint]
	return hashes, known
}

// retain forgets all endpoints but those given.
func (l *loadedVersions) retain(present func(platform.EndpointID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpoint := range l.byEndpoint {
		if !present(endpoint) {
			delete(l.byEndpoint, endpoint)
		}
	}
}

// MayHave reports whether the endpoint has the version loaded, as far as is
// known: an endpoint of which nothing is known may have it.
func (d *Directory) MayHave(endpoint platform.EndpointID, ref document.Ref) bool {
	hashes, known := d.loaded.of(endpoint)
	return !known || slices.Contains(hashes, hashOf(ref.String()))
}
