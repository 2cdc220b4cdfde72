package routetable

import (
	"cmp"
	"slices"
	"strings"

	"github.com/parsleystack/parsleystack/ident"
)

// Table looks up the route of a request. It is immutable.
type Table struct {
	cfg   Configuration
	hosts map[string][]Route // longest prefix first
	// partial is set if a route is missing whose requests can't be told.
	partial bool
}

// New returns the table of a configuration.
func New(cfg Configuration) *Table {
	t := &Table{cfg: cfg, hosts: make(map[string][]Route)}
	for _, r := range cfg.Routes {
		t.add(r)
	}
	for _, p := range cfg.Unusable {
		if p.Host == "" || p.PathPrefix == "" {
			t.partial = true
			continue
		}
		t.add(Route{Host: p.Host, PathPrefix: p.PathPrefix})
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return t
}

func (t *Table) add(r Route) {
	host := hostName(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
}

// Partial reports whether the configuration has a route that could not be decoded and
// whose host or prefix is not known.
func (t *Table) Partial() bool { return t.partial }

// Version returns the version of the configuration.
func (t *Table) Version() Version { return t.cfg.Version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Service returns a service by its name.
func (t *Table) Service(name ident.Service) (Service, bool) {
	s, ok := t.cfg.Services[name]
	return s, ok
}

// Services returns all services sorted by name.
func (t *Table) Services() []Service {
	all := make([]Service, 0, len(t.cfg.Services))
	for _, s := range t.cfg.Services {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Lookup returns the route with the longest prefix of the path among those of
// the host. A port and a final dot in host and a query in uri are ignored.
func (t *Table) Lookup(host, uri string) (*Route, bool) {
	path, _, _ := strings.Cut(uri, "?")
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routes := t.hosts[hostName(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// hostName returns a host in lower case without the final dot of a fully qualified name.
func hostName(host string) string { return strings.TrimSuffix(strings.ToLower(host), ".") }
