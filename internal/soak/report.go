package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// writeReport writes the schedule, and the timeline around each violation.
func (r *run) writeReport(result Result) error {
	folder := filepath.Join(r.options.ReportDir, fmt.Sprintf("seed-%d", result.Seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d proxies, %v\n\n%s\n", result.Seed, r.options.Fleet, r.options.Duration, formatSchedule(result.Schedule))
	for _, v := range result.Violations {
		fmt.Fprintf(&b, "\n%v\n%s", v, r.h.TimelineAround(v.At, 4*time.Second, v.Words...))
	}
	return os.WriteFile(filepath.Join(folder, "violations.txt"), []byte(b.String()), 0o644)
}
