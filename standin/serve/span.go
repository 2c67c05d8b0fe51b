package serve

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (s Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(s).String())
}

// UnmarshalJSON decodes a string such as "200ms". A negative duration is an
// error.
func (s *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return errors.Wrap(err, "duration")
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	if d < 0 {
		return errors.Newf("duration %s is negative", text)
	}
	*s = Duration(d)
	return nil
}
