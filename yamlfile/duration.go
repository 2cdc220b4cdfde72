package yamlfile

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// durationError reports a scalar that is not a duration with its unit.
type durationError struct{ value string }

func (e *durationError) Error() string {
	return fmt.Sprintf("%q is not a duration with its unit", e.value)
}

// unmarshalDuration decodes a duration with its unit, such as 250ms.
func unmarshalDuration(d *time.Duration, text []byte) error {
	value := strings.TrimSpace(string(text))
	if unquoted, err := strconv.Unquote(value); err == nil {
		value = unquoted
	}
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return &durationError{value: value}
	}
	*d = parsed
	return nil
}
