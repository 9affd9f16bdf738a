package memory

// Plan divides the memory that a process may use. All sizes are in bytes.
type Plan struct {
	// Runtime is the soft limit of the Go runtime.
	Runtime int64
	// Requests is the budget for what is held for clients and endpoints.
	Requests int64
	// Sockets bounds what the kernel holds for connections: received and not yet read, or written
	// and not yet sent.
	Sockets int64
	// Connections bounds the number of client connections.
	Connections int
}

const (
	mib = 1 << 20
	// usable is the part of the memory that the process plans with; the rest is for what cannot be
	// planned, such as the kernel's own structures.
	usable = 0.8
	// codeBytes is resident and outside of the runtime's limit: the pages of the program file.
	codeBytes = 12 * mib
	// socketShare and connectionShare are the parts of the memory for [Plan.Sockets], and for the
	// goroutines and buffers of connections.
	socketShare     = 1.0 / 8
	connectionShare = 1.0 / 12
	// connectionBytes is what an open client connection with a request costs beside the request's
	// bytes: goroutines, buffers of net/http on both sides, the parsed header.
	connectionBytes = 48 << 10
	// controlShare and minControlBytes are for the state of the instance itself.
	controlShare    = 1.0 / 8
	minControlBytes = 12 * mib
	// garbageFactor is the heap that a held byte costs with the garbage beside it.
	garbageFactor = 1.5
	// minRequestBytes lets a single body of the largest size through on the smallest machine.
	minRequestBytes = 8 * mib
)

// NewPlan returns the plan for a process that may use the given memory and number of descriptors.
func NewPlan(memoryBytes float64, descriptors int) Plan {
	sockets := memoryBytes * socketShare
	connections := memoryBytes * connectionShare
	control := max(minControlBytes, memoryBytes*controlShare)
	runtime := memoryBytes*usable - codeBytes - sockets
	requests := (runtime - control - connections) / garbageFactor
	return Plan{
		Runtime:     int64(max(runtime, memoryBytes/3)),
		Requests:    int64(max(requests, minRequestBytes)),
		Sockets:     int64(sockets),
		Connections: max(minConnections, min(int(connections/connectionBytes), clientDescriptors(descriptors))),
	}
}

const (
	// reservedDescriptors is the number of descriptors that are kept for files.
	reservedDescriptors = 200
	// clientShare is the part of the other descriptors for client connections. Each request needs
	// another one for its endpoint; the rest is for peers, the store and operators.
	clientShare = 0.4
	// minConnections keeps an instance usable whatever its settings say.
	minConnections = 16
)

func clientDescriptors(descriptors int) int {
	return int(float64(descriptors-reservedDescriptors) * clientShare)
}
