package settings

import "github.com/parsleystack/parsleystack/yamlfile"

// Listen holds the addresses that the daemon listens on, each IP:port.
type Listen struct {
	Callers string `yaml:"callers"` // HTTP for callers
	Daemons string `yaml:"daemons"` // TCP for other daemons
	Admin   string `yaml:"admin"`   // HTTP for operators and metrics
	// Announce is the address that other daemons connect to. If it is empty, they
	// connect to Daemons.
	Announce string `yaml:"announce,omitempty"`
}

// AnnounceAddr returns the address that other daemons connect to.
func (l *Listen) AnnounceAddr() string {
	if l.Announce != "" {
		return l.Announce
	}
	return l.Daemons
}

func (l *Listen) check(c *yamlfile.Checker) {
	c.Addr("listen.callers", l.Callers)
	c.Addr("listen.daemons", l.Daemons)
	c.Addr("listen.admin", l.Admin)
	if l.Announce != "" {
		c.Addr("listen.announce", l.Announce)
	}
	const remedy = "give each listener its own port"
	if l.Daemons != "" && l.Daemons == l.Callers {
		c.Fail("listen.daemons", "the address is also that of listen.callers", remedy)
	}
	if l.Admin != "" && (l.Admin == l.Callers || l.Admin == l.Daemons) {
		c.Fail("listen.admin", "the address is also that of another listener", remedy)
	}
}
