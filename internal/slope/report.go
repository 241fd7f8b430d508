package slope

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// series is a quantity as a function of a size.
type series struct {
	name, unit, per string
	x               func(Point) float64
	y               func(Point) float64
	fixed           func(Point) bool
}

func byPeers(p Point) bool { return p.servers == 75 }

func byServers(p Point) bool { return p.peers == 16 }

func all() []series {
	peers := func(p Point) float64 { return float64(p.peers) }
	servers := func(p Point) float64 { return float64(p.servers) }
	return []series{
		{"control processor time", "% of a core", "peer", peers, func(p Point) float64 { return p.cpu }, byPeers},
		{"control bytes sent", "bytes/s", "peer", peers, func(p Point) float64 { return p.bytes }, byPeers},
		{"control messages sent", "messages/s", "peer", peers, func(p Point) float64 { return p.messages }, byPeers},
		{"control processor time", "% of a core", "server known", servers, func(p Point) float64 { return p.cpu }, byServers},
		{"control memory", "bytes", "server known", servers, func(p Point) float64 { return p.memory }, byServers},
		{"configuration change, time", "us", "server declared", servers, func(p Point) float64 { return p.change }, byServers},
		{"configuration change, bytes to 16 peers", "bytes", "server declared", servers, func(p Point) float64 { return p.changeBytes }, byServers},
		{"placement after a failure, time", "us", "server declared", servers, func(p Point) float64 { return p.plan }, byServers},
	}
}

// fit is a straight line through measurements.
type fit struct {
	slope, base, worst float64
}

// fitOf returns the least-squares line, and the largest deviation from it in
// percent of the largest value.
func fitOf(xs, ys []float64) fit {
	n := float64(len(xs))
	var sx, sy, sxx, sxy, top float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
		top = max(top, ys[i])
	}
	var f fit
	f.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.base = (sy - f.slope*sx) / n
	for i := range xs {
		f.worst = max(f.worst, 100*math.Abs(ys[i]-f.base-f.slope*xs[i])/top)
	}
	return f
}

func (s series) values(points []Point) (xs, ys []float64) {
	for _, p := range points {
		if s.fixed(p) || (p.peers == 16 && p.servers == 75) {
			xs = append(xs, s.x(p))
			ys = append(ys, s.y(p))
		}
	}
	return xs, ys
}

// Markdown returns the points and the fits as tables.
func Markdown(points []Point) string {
	var b bytes.Buffer
	b.WriteString("| peers | servers | cpu, % of a core | bytes/s | messages/s | memory, KB | change, us | change, KB sent | placement, us |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, p := range points {
		fmt.Fprintf(&b, "| %d | %d | %.3f | %.0f | %.1f | %.0f | %.0f | %.0f | %.0f |\n", p.peers, p.servers, p.cpu, p.bytes, p.messages, p.memory/1024, p.change, p.changeBytes/1024, p.plan)
	}
	b.WriteString("\n| quantity | unit | slope per | slope | base | largest deviation, % of the largest value |\n|---|---|---|---|---|---|\n")
	for _, s := range all() {
		f := fitOf(s.values(points))
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %.1f |\n", s.name, s.unit, s.per, f.slope, f.base, f.worst)
	}
	return b.String()
}

// Write writes slopes.md and a plot for each of two quantities into a folder.
func Write(dir string, points []Point) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "write the slopes")
	}
	text := "# Measured slopes of control\n\nMade by `lagoontrail bench --scenario slope --out docs/capacity`; docs/CAPACITY.md uses them.\n\n" + Markdown(points)
	if err := os.WriteFile(filepath.Join(dir, "slopes.md"), []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "write the slopes")
	}
	for i, name := range map[int]string{0: "cpu_by_peers.svg", 4: "memory_by_servers.svg"} {
		if err := os.WriteFile(filepath.Join(dir, name), plot(all()[i], points), 0o644); err != nil {
			return errors.Wrap(err, "write a plot")
		}
	}
	return nil
}

// Size of a plot, in pixels.
const (
	width, height = 480, 320
	margin        = 50
)

// plot draws the measurements as dots and the fit as a line.
func plot(s series, points []Point) []byte {
	xs, ys := s.values(points)
	f := fitOf(xs, ys)
	var topX, topY float64
	for i := range xs {
		topX, topY = max(topX, xs[i]), max(topY, ys[i])
	}
	px := func(x float64) float64 { return margin + x/topX*(width-2*margin) }
	py := func(y float64) float64 { return height - margin - y/topY*(height-2*margin) }
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`, width, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><path d="M%d %d V%d H%d" stroke="black" fill="none"/>`, margin, margin, height-margin, width-margin)
	fmt.Fprintf(&b, `<text x="%d" y="20">%s, %s, by %s</text>`, margin, s.name, s.unit, s.per)
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">%.4g</text><text x="%d" y="%d" text-anchor="middle">%.4g</text>`, margin-5, margin+5, topY, width-margin, height-margin+18, topX)
	fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="gray"/>`, px(0), py(max(f.base, 0)), px(topX), py(f.base+f.slope*topX))
	for i := range xs {
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="4" fill="steelblue"/>`, px(xs[i]), py(ys[i]))
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}
