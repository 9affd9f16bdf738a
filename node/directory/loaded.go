package directory

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// loadedVersions stores the model versions that each endpoint has loaded, as hashes,
// to keep digests small. A hash collision of two versions costs one refused
// dispatch.
type loadedVersions struct {
	mu         sync.RWMutex
	byEndpoint map[platform.EndpointID][]uint32
}

func newLoadedVersions() *loadedVersions {
	return &loadedVersions{byEndpoint: map[platform.EndpointID][]uint32{}}
}

func hashRef(ref string) uint32 { return uint32(xxhash.Sum64String(ref)) }

// setRefs stores the list of "model@version" that an endpoint reported.
func (l *loadedVersions) setRefs(endpoint platform.EndpointID, refs []string) {
	hashes := make([]uint32, 0, len(refs))
	for _, ref := range refs {
		hashes = append(hashes, hashRef(ref))
	}
	l.setHashes(endpoint, hashes)
}

// setHashes stores the hashes of an endpoint's loaded versions, for example those
// received from a peer.
func (l *loadedVersions) setHashes(endpoint platform.EndpointID, hashes []uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byEndpoint[endpoint] = hashes
}

// hashes returns the hashes of the versions that an endpoint has loaded, and whether
// they are known.
func (l *loadedVersions) hashes(endpoint platform.EndpointID) ([]uint32, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	hashes, known := l.byEndpoint[endpoint]
	return hashes, known
}

// retain removes the endpoints for which present returns false.
func (l *loadedVersions) retain(present func(platform.EndpointID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpoint := range l.byEndpoint {
		if !present(endpoint) {
			delete(l.byEndpoint, endpoint)
		}
	}
}

// MayHaveLoaded reports whether the endpoint may have the version loaded. It returns true
// if the endpoint's loaded versions are unknown.
func (d *Directory) MayHaveLoaded(endpoint platform.EndpointID, ref document.Ref) bool {
	hashes, known := d.loaded.hashes(endpoint)
	return !known || slices.Contains(hashes, hashRef(ref.String()))
}
