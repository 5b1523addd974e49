package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// shrink removes faults from a schedule one at a time, keeping each removal after which the first violated rule is
// still violated, and writes the shortest schedule to least.txt in the report directory. As the timing differs
// between runs, a fault may be removed or kept by chance.
func shrink(seed uint64, o Options, firstResult Result) error {
	reportDir := o.ReportDir
	o.ReportDir = ""
	o.Shrink = false
	rule := firstResult.Violations[0].Rule
	shortestSchedule := firstResult.Schedule
	for i := 0; i < len(shortestSchedule); {
		shorterSchedule := slices.Delete(slices.Clone(shortestSchedule), i, i+1)
		result, err := runSchedule(seed, o, shorterSchedule)
		if err != nil {
			return err
		}
		if result.violates(rule) {
			shortestSchedule = shorterSchedule
		} else {
			i++
		}
	}
	if reportDir == "" {
		return nil
	}
	path := filepath.Join(seedDir(reportDir, seed), "least.txt")
	return os.WriteFile(path, []byte(rule+"\n"+formatSchedule(shortestSchedule)), 0o644)
}

// violates reports whether the run violated a rule.
func (r Result) violates(rule string) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Rule == rule })
}

// seedDir returns the directory for a seed's reports.
func seedDir(reportDir string, seed uint64) string {
	return filepath.Join(reportDir, fmt.Sprintf("seed-%d", seed))
}
