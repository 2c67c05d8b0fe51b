package serve

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Span is a duration that is encoded in JSON as a string such as "1.5s".
type Span time.Duration

// MarshalJSON encodes the duration as a string.
func (s Span) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(s).String())
}

// UnmarshalJSON decodes a string such as "200ms". A negative duration is an
// error.
func (s *Span) UnmarshalJSON(b []byte) error {
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
	*s = Span(d)
	return nil
}
