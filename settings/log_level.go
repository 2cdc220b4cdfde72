package settings

import (
	"fmt"

	"github.com/parsleystack/parsleystack/yamlfile"
)

// LogLevel is the minimum level of the log events that the daemon writes.
type LogLevel string

const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

func (l LogLevel) check(c *yamlfile.Checker) {
	switch l {
	case LogDebug, LogInfo, LogWarn, LogError:
		return
	}
	c.Fail("log_level", fmt.Sprintf("%q is not a level", string(l)), "write debug, info, warn or error")
}
