package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// shrink leaves out one trouble after another as long as the first rule that was broken is still broken, and keeps the least
// schedule. Runs differ in their timing: what does not show again may all the same be needed.
func shrink(seed uint64, o Options, found Result) error {
	least, rule := found.Schedule, found.Violations[0].Rule
	o.Shrink = false
	keep := o.ReportDir
	o.ReportDir = ""
	for i := 0; i < len(least); {
		without := slices.Delete(slices.Clone(least), i, i+1)
		result, err := play(seed, o, without)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(result.Violations, func(v Violation) bool { return v.Rule == rule }) {
			least = without
		} else {
			i++
		}
	}
	if keep == "" {
		return nil
	}
	path := filepath.Join(keep, fmt.Sprintf("seed-%d", seed), "least.txt")
	return os.WriteFile(path, []byte(rule+"\n"+formatSchedule(least)), 0o644)
}
