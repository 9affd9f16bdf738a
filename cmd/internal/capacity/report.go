package capacity

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/wigeonusher/wigeonusher/node"
)

const (
	secondsPerDay = 86_400
	nanosPerCore  = 1e9
)

// Row is the cost per instance of one role at the target size.
type Row struct {
	Role           string  `json:"role"`
	Mechanism      string  `json:"mechanism"`
	CoreShare      float64 `json:"core_share"`
	MemoryBytes    float64 `json:"memory_bytes"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	// AppendsPerSecond counts the appends of the whole fleet.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// Report contains the measurements and the costs estimated from them.
type Report struct {
	Size    Size     `json:"size"`
	Budget  Budget   `json:"budget"`
	Samples []Sample `json:"samples"`
	Core    Fit      `json:"core"`
	Heap    Fit      `json:"heap"`
	Bytes   Fit      `json:"bytes"`
	Slopes  []Slope  `json:"slopes"`
	Rows    []Row    `json:"rows"`
	Total   Row      `json:"total"`
}

// Shapes returns the shapes of the fleets that are measured.
func Shapes() []Shape {
	return []Shape{{1, 3}, {1, 6}, {1, 12}, {1, 22}, {3, 3}, {3, 6}, {6, 3}}
}

// Measure measures the fleets and the slopes and estimates the costs at the size.
// It calls the function progress with a line of text after each fleet.
func Measure(ctx context.Context, size Size, progress func(string)) (Report, error) {
	report := Report{Size: size, Budget: ControlBudget()}
	for _, shape := range Shapes() {
		sample, err := measureFleet(ctx, shape)
		if err != nil {
			return report, err
		}
		progress(fmt.Sprintf("fleet of %d zones with %d instances each: %.2f%% of a core, %.1f MB, %.1f KB/s per instance",
			shape.Zones, shape.PerZone, 100*sample.CoreShare, sample.HeapBytes/1e6, sample.BytesPerSecond/1e3))
		report.Samples = append(report.Samples, sample)
	}
	report.Core = fitPlane(report.Samples, func(s Sample) float64 { return s.CoreShare })
	report.Heap = fitPlane(report.Samples, func(s Sample) float64 { return s.HeapBytes })
	report.Bytes = fitPlane(report.Samples, func(s Sample) float64 { return s.BytesPerSecond })
	slopes := measureSlopes()
	report.Slopes = slopes.List()
	report.Rows = roleRows(size, report, slopes)
	report.Total = sumRows(report.Rows)
	return report, nil
}

// roleRows returns the estimated cost of each role at the size.
func roleRows(size Size, report Report, s Slopes) []Row {
	atMostOnceCalls := size.RequestsPerSecond * size.AtMostOnceShare
	newSessions := size.RequestsPerSecond * size.NewSessionShare
	changesPerSecond := size.ChangesPerDay / secondsPerDay
	peersInZone := size.instancesPerZone() - 1
	changeBytes := float64(size.DocumentBytes) / 4
	return []Row{
		{
			Role:           "membership, digests, polls, followers",
			Mechanism:      "heartbeats in the zone, few contacts elsewhere, shared polls",
			CoreShare:      report.Core.costAt(size),
			MemoryBytes:    report.Heap.costAt(size),
			BytesPerSecond: report.Bytes.costAt(size),
		},
		{
			Role:             "configuration",
			Mechanism:        "control stream, relayed in the zone",
			CoreShare:        changesPerSecond * s.ChangeNanos * float64(size.DocumentBytes) / nanosPerCore,
			MemoryBytes:      3 * float64(size.DocumentBytes),
			BytesPerSecond:   changesPerSecond * changeBytes,
			AppendsPerSecond: changesPerSecond,
		},
		{
			Role:           "account limits",
			Mechanism:      "demands in digests",
			CoreShare:      peersInZone * float64(size.Accounts) * s.DemandNanos / nanosPerCore,
			MemoryBytes:    float64(size.Accounts) * size.instancesPerZone() * 64,
			BytesPerSecond: 2 * peersInZone * float64(size.Accounts) * s.DemandBytes,
		},
		{
			Role:             "bills",
			Mechanism:        "copy to a peer, group commit per instance",
			CoreShare:        2 * size.requestsPerInstance() * s.BillNanos / nanosPerCore,
			MemoryBytes:      2 * size.requestsPerInstance() * s.BillBytes * node.BillInterval(size.Instances).Seconds(),
			BytesPerSecond:   3 * size.requestsPerInstance() * s.BillBytes,
			AppendsPerSecond: float64(size.Instances) / node.BillInterval(size.Instances).Seconds(),
		},
		{
			Role:             "at-most-once calls",
			Mechanism:        "intents stream, folded by every instance",
			CoreShare:        atMostOnceCalls * s.IntentNanos / nanosPerCore,
			MemoryBytes:      float64(size.KeptKeys) * s.KeyBytes,
			BytesPerSecond:   atMostOnceCalls * s.IntentBytes,
			AppendsPerSecond: float64(size.Instances) / node.IntentInterval(size.Instances).Seconds(),
		},
		{
			Role:             "sessions",
			Mechanism:        "token, two owners, sessions stream read by every instance",
			CoreShare:        newSessions * s.PinSetNanos / nanosPerCore,
			MemoryBytes:      float64(size.KeptSessions) * s.SessionBytes,
			BytesPerSecond:   newSessions * s.PinSetBytes,
			AppendsPerSecond: float64(size.Instances) / node.SessionInterval(size.Instances).Seconds(),
		},
	}
}

func sumRows(rows []Row) Row {
	sum := Row{Role: "all"}
	for _, row := range rows {
		sum.CoreShare += row.CoreShare
		sum.MemoryBytes += row.MemoryBytes
		sum.BytesPerSecond += row.BytesPerSecond
		sum.AppendsPerSecond += row.AppendsPerSecond
	}
	return sum
}

// Write prints the report as text.
func (r Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "slope\tvalue\tunit")
	for _, slope := range r.Slopes {
		fmt.Fprintf(table, "%s\t%.1f\t%s\n", slope.Name, slope.Value, slope.Unit)
	}
	writeFit(table, "idle instance, core", "% of a core", 100, r.Core)
	writeFit(table, "idle instance, heap", "MB", 1e-6, r.Heap)
	writeFit(table, "idle instance, peer protocol", "KB/s", 1e-3, r.Bytes)
	fmt.Fprintln(table)
	fmt.Fprintln(table, "role, per instance\tcore %\tMB\tKB/s\tappends/s, fleet")
	for _, row := range append(r.Rows, r.Total) {
		writeRow(table, row)
	}
	writeRow(table, Row{
		Role:             "budget",
		CoreShare:        r.Budget.CoreShare,
		MemoryBytes:      r.Budget.MemoryBytes,
		BytesPerSecond:   r.Budget.BytesPerSecond,
		AppendsPerSecond: r.Budget.AppendsPerSecond,
	})
	return table.Flush()
}

func writeFit(w io.Writer, name, unit string, scale float64, f Fit) {
	fmt.Fprintf(w, "%s: constant\t%.4f\t%s\n", name, scale*f.Constant, unit)
	fmt.Fprintf(w, "%s: per peer of the zone\t%.4f\t%s\n", name, scale*f.PerPeer, unit)
	fmt.Fprintf(w, "%s: per other zone\t%.4f\t%s\n", name, scale*f.PerZone, unit)
}

func writeRow(w io.Writer, row Row) {
	fmt.Fprintf(w, "%s\t%.3f\t%.2f\t%.2f\t%.2f\n",
		row.Role, 100*row.CoreShare, row.MemoryBytes/1e6, row.BytesPerSecond/1e3, row.AppendsPerSecond)
}
