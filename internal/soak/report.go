package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// reportDistance is the time before and after a violation for which a report shows the timeline.
const reportDistance = 4 * time.Second

// writeReport writes the schedule, and the timeline around each violation, to violations.txt.
func (r *run) writeReport(result Result) error {
	dir := seedDir(r.options.ReportDir, result.Seed)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d proxies, %v\n\n%s\n",
		result.Seed, r.options.FleetSize, r.options.Duration, formatSchedule(result.Schedule))
	for _, v := range result.Violations {
		fmt.Fprintf(&b, "\n%v\n%s", v, r.history.TimelineAround(v.At, reportDistance, v.Keywords...))
	}
	return os.WriteFile(filepath.Join(dir, "violations.txt"), []byte(b.String()), 0o644)
}
