package placement

import "github.com/cespare/xxhash/v2"

const (
	// bytesPerToken is the mean length of a token of text, in bytes.
	bytesPerToken = 4
	// maxHashedBlocks bounds the work and memory spent on one prompt.
	maxHashedBlocks = 256
)

// EstimateTokens returns the estimated number of tokens of a text.
func EstimateTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// PrefixHashes returns one hash per complete block of the prompt. Each hash
// covers the prompt from its start to the end of the block, so equal hashes
// mean equal prefixes. Only the first maxHashedBlocks blocks are hashed.
func PrefixHashes(prompt string, blockTokens int) []uint64 {
	size := max(1, blockTokens) * bytesPerToken
	count := min(len(prompt)/size, maxHashedBlocks)
	hashes := make([]uint64, 0, count)
	digest := xxhash.New()
	for i := range count {
		_, _ = digest.WriteString(prompt[i*size : (i+1)*size])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
