package slope

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// series is a measured quantity as a function of the number of peers or servers.
type series struct {
	name, unit, per string
	x               func(Point) float64
	y               func(Point) float64
	include         func(Point) bool // selects the points of the sweep over x
}

// inPeerSweep reports whether a point has the number of servers at which Measure
// varies the number of peers.
func inPeerSweep(p Point) bool { return p.servers == 75 }

// inServerSweep reports whether a point has the number of peers at which Measure
// varies the number of servers.
func inServerSweep(p Point) bool { return p.peers == 16 }

func allSeries() []series {
	peers := func(p Point) float64 { return float64(p.peers) }
	servers := func(p Point) float64 { return float64(p.servers) }
	return []series{
		{"control processor time", "% of a core", "peer", peers, func(p Point) float64 { return p.cpuPercent }, inPeerSweep},
		{"control bytes sent", "bytes/s", "peer", peers, func(p Point) float64 { return p.bytesPerSecond }, inPeerSweep},
		{"control messages sent", "messages/s", "peer", peers, func(p Point) float64 { return p.messagesPerSecond }, inPeerSweep},
		{"control processor time", "% of a core", "server known", servers, func(p Point) float64 { return p.cpuPercent }, inServerSweep},
		{"control memory", "bytes", "server known", servers, func(p Point) float64 { return p.heapBytes }, inServerSweep},
		{"configuration change, time", "us", "server declared", servers, func(p Point) float64 { return p.changeMicros }, inServerSweep},
		{"configuration change, bytes to 16 peers", "bytes", "server declared", servers, func(p Point) float64 { return p.changeBytes }, inServerSweep},
		{"placement after a failure, time", "us", "server declared", servers, func(p Point) float64 { return p.planMicros }, inServerSweep},
	}
}

// fit is a straight line through measurements, with the largest deviation from it in
// percent of the largest value.
type fit struct {
	slope, intercept, maxDeviation float64
}

// fitLine returns the least-squares line through the measurements.
func fitLine(xs, ys []float64) fit {
	n := float64(len(xs))
	var sumX, sumY, sumXX, sumXY, maxY float64
	for i := range xs {
		sumX += xs[i]
		sumY += ys[i]
		sumXX += xs[i] * xs[i]
		sumXY += xs[i] * ys[i]
		maxY = max(maxY, ys[i])
	}
	var f fit
	f.slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	f.intercept = (sumY - f.slope*sumX) / n
	for i := range xs {
		f.maxDeviation = max(f.maxDeviation, 100*math.Abs(ys[i]-f.intercept-f.slope*xs[i])/maxY)
	}
	return f
}

func (s series) values(points []Point) (xs, ys []float64) {
	for _, p := range points {
		if s.include(p) || (p.peers == 16 && p.servers == 75) {
			xs = append(xs, s.x(p))
			ys = append(ys, s.y(p))
		}
	}
	return xs, ys
}

// Markdown returns the points and the fitted lines as tables.
func Markdown(points []Point) string {
	var b bytes.Buffer
	b.WriteString("| peers | servers | cpu, % of a core | bytes/s | messages/s | memory, KB | change, us | change, KB sent | placement, us |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, p := range points {
		fmt.Fprintf(&b, "| %d | %d | %.3f | %.0f | %.1f | %.0f | %.0f | %.0f | %.0f |\n", p.peers, p.servers, p.cpuPercent, p.bytesPerSecond, p.messagesPerSecond, p.heapBytes/1024, p.changeMicros, p.changeBytes/1024, p.planMicros)
	}
	b.WriteString("\n| quantity | unit | slope per | slope | base | largest deviation, % of the largest value |\n|---|---|---|---|---|---|\n")
	for _, s := range allSeries() {
		f := fitLine(s.values(points))
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %.1f |\n", s.name, s.unit, s.per, f.slope, f.intercept, f.maxDeviation)
	}
	return b.String()
}

// Write writes slopes.md and two plots into a directory, which it creates if needed.
func Write(dir string, points []Point) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "write slopes")
	}
	text := "# Measured slopes of control\n\nMade by `lagoontrail bench --scenario slope --out docs/capacity`; docs/CAPACITY.md uses them.\n\n" + Markdown(points)
	if err := os.WriteFile(filepath.Join(dir, "slopes.md"), []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "write slopes")
	}
	// The keys are indexes into allSeries.
	for i, name := range map[int]string{0: "cpu_by_peers.svg", 4: "memory_by_servers.svg"} {
		if err := os.WriteFile(filepath.Join(dir, name), plot(allSeries()[i], points), 0o644); err != nil {
			return errors.Wrap(err, "write plot")
		}
	}
	return nil
}

// Size of a plot, in pixels.
const (
	plotWidth, plotHeight = 480, 320
	plotMargin            = 50
)

// plot returns an SVG image with the measurements as dots and the fitted line.
func plot(s series, points []Point) []byte {
	xs, ys := s.values(points)
	f := fitLine(xs, ys)
	var maxX, maxY float64
	for i := range xs {
		maxX, maxY = max(maxX, xs[i]), max(maxY, ys[i])
	}
	px := func(x float64) float64 { return plotMargin + x/maxX*(plotWidth-2*plotMargin) }
	py := func(y float64) float64 { return plotHeight - plotMargin - y/maxY*(plotHeight-2*plotMargin) }
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`, plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><path d="M%d %d V%d H%d" stroke="black" fill="none"/>`, plotMargin, plotMargin, plotHeight-plotMargin, plotWidth-plotMargin)
	fmt.Fprintf(&b, `<text x="%d" y="20">%s, %s, by %s</text>`, plotMargin, s.name, s.unit, s.per)
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">%.4g</text><text x="%d" y="%d" text-anchor="middle">%.4g</text>`, plotMargin-5, plotMargin+5, maxY, plotWidth-plotMargin, plotHeight-plotMargin+18, maxX)
	fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="gray"/>`, px(0), py(max(f.intercept, 0)), px(maxX), py(f.intercept+f.slope*maxX))
	for i := range xs {
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="4" fill="steelblue"/>`, px(xs[i]), py(ys[i]))
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}
