package bench

const (
	defaultGenerators  = 4
	defaultMaxInFlight = 4096
	defaultMaxConns    = 1024
)

// Config holds the parameters of a run against one set of addresses.
type Config struct {
	Name        string   // name of the variant in reports
	Addrs       []string // addresses that requests are spread over
	Direct      bool     // the addresses are those of targets, not of daemons
	Mix         Mix
	Phases      []Phase
	Keys        KeyConfig
	MaxInFlight int    // requests above this limit are counted as unsent; default 4096
	MaxConns    int    // connections to one address; default 1024
	Generators  int    // goroutines that send; default 4
	Seed        uint64 // seed of schedule, operations and keys
	RunID       string // prefix of the request ids, unique among runs
}

func (c Config) withDefaults() Config {
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.MaxConns == 0 {
		c.MaxConns = defaultMaxConns
	}
	if c.Generators == 0 {
		c.Generators = defaultGenerators
	}
	return c
}
