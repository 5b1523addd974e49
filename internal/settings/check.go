package settings

import (
	"errors"
	"fmt"
)

// Check says whether a real proxy can serve by the settings. A list by class that is too short would make a write
// that must not run twice look like a read.
func (s Settings) Check() error {
	c := s.read
	if len(c.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	names := map[string]bool{}
	for _, k := range c.Classes {
		if k.Name == "" || names[k.Name] {
			return fmt.Errorf("settings: class %q is unnamed or named twice", k.Name)
		}
		names[k.Name] = true
		if k.Deadline != nil && *k.Deadline <= 0 || k.Promise < 0 {
			return fmt.Errorf("settings: class %q: deadline-us must be over 0, promise-us not under it", k.Name)
		}
	}
	if n := c.Limits.MaxAttempts; n != nil && *n <= 0 {
		return fmt.Errorf("settings: max-attempts is %d; it must be over 0", *n)
	}
	if err := s.checkNumbers(); err != nil {
		return err
	}
	for name, n := range map[string]int{
		"class-fresh-us": len(c.Domain.Fresh), "grace-for-us": len(c.Domain.Grace), "pass-on": len(c.Domain.PassOn),
	} {
		if n != 0 && n != len(c.Classes) {
			return fmt.Errorf("settings: %s has %d entries for %d classes", name, n, len(c.Classes))
		}
	}
	return nil
}

// checkNumbers looks for what would stop the proxy or keep it from serving anybody.
func (s Settings) checkNumbers() error {
	c := s.read
	if c.Zone < 0 || c.Zone >= max(1, len(c.Areas)) {
		return fmt.Errorf("settings: zone %d is not among the %d areas", c.Zone, len(c.Areas))
	}
	for name, n := range map[string]int64{
		"index": int64(c.Index), "group-size": int64(c.GroupSize), "max-open": int64(c.Limits.MaxOpen),
		"streams-per-conn": int64(c.Limits.StreamsPerConn), "conn-idle-us": c.Limits.ConnIdle,
		"connect-timeout-us": c.Limits.ConnectTimeout,
	} {
		if n < 0 {
			return fmt.Errorf("settings: %s is %d; it must not be under 0", name, n)
		}
	}
	return nil
}
