package lease

// RateLimit is how many requests a second a target takes from all entries together. The
// zero value is no limit.
type RateLimit struct {
	Limited   bool    `msgpack:"limited"`
	PerSecond float64 `msgpack:"perSecond"`
}
