package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Ports of every machine; each machine has a loopback address of its own.
const (
	inboundPort, appPort, readyPort, outboundPort, controlPort = 8300, 8301, 8302, 8304, 8306
	firstLinkPort, lastLinkPort                                = 7620, 7635
)

const (
	requestHost  = "review.example"
	slots        = 18
	readyTimeout = 20 * time.Second
)

// cluster is a small deployment: machines with a daemon and a backend each, and the store.
type cluster struct {
	dir      string // temporary: settings and logs
	network  string // first three numbers of the machines' addresses
	record   *record
	store    *platformtest.Store
	mu       sync.Mutex
	machines []*machine
	memoryMB int // limit of each daemon
	site     site
	garble   garble

	// Of the backends of a service that is divided by key: how long a request takes, and how
	// long the answer to a heartbeat is under way.
	backendWork, answerDelay time.Duration

	sharded *holdJudge // not nil if the service of the backends is divided by key
}

// machine is one instance of the deployment.
type machine struct {
	c                       *cluster
	name, ip, zone, service string
	storeAddr               string
	daemon                  *daemonProcess
	backend                 *backend
	sharded                 *shardedBackend // in place of backend if the service is divided by key
}

func newCluster(recordFile string) (*cluster, error) {
	r, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	return &cluster{dir: dir, record: r, store: platformtest.NewStore(), memoryMB: 284, site: perizia}, nil
}

func (c *cluster) close() {
	for _, m := range c.machines {
		m.daemon.kill()
		m.server().end()
	}
	c.store.Close()
	if err := c.record.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir) // a leftover in the temporary folder does no harm
	} else {
		fmt.Println("logs are in", c.dir)
	}
}

// addMachines adds a machine for each service and starts daemons and backends.
func (c *cluster) addMachines(services ...string) error {
	var added []*machine
	for _, service := range services {
		m, err := c.newMachine(service)
		if err != nil {
			return err
		}
		added = append(added, m)
	}
	for _, m := range added {
		if err := errors.Join(m.daemon.start(), m.server().start()); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) newMachine(service string) (*machine, error) {
	storeAddr, err := c.store.Listen()
	if err != nil {
		return nil, err
	}
	if c.network == "" {
		c.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	}
	i := len(c.machines)
	zone := fmt.Sprintf("lombardia-%c", 'a'+rune(i%3))
	m := &machine{
		c: c, name: fmt.Sprintf("sidecar-%s-%d", zone, i/3+1), ip: fmt.Sprintf("%s.%d", c.network, i+1),
		zone: zone, service: service, storeAddr: storeAddr,
	}
	if err := m.checkPorts(); err != nil {
		return nil, err
	}
	if err := os.WriteFile(m.settingsFile(), []byte(m.settings()), 0o600); err != nil {
		return nil, err
	}
	m.daemon = &daemonProcess{m: m}
	if c.sharded != nil {
		m.sharded = newShardedBackend(m)
	} else {
		m.backend = newBackend(m)
	}
	c.mu.Lock()
	c.machines = append(c.machines, m)
	c.mu.Unlock()
	return m, nil
}

// all returns the machines that were added so far.
func (c *cluster) all() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.machines)
}

// server is the application backend of a machine.
type server interface {
	start() error
	end()
}

func (m *machine) server() server {
	if m.sharded != nil {
		return m.sharded
	}
	return m.backend
}

// checkPorts reports an error if another process uses a port of the machine's address.
func (m *machine) checkPorts() error {
	for _, port := range []int{inboundPort, appPort, readyPort, outboundPort, controlPort, firstLinkPort, lastLinkPort} {
		l, err := net.Listen("tcp", m.addr(port))
		if err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) settingsFile() string { return filepath.Join(m.c.dir, m.name+".yaml") }

func (m *machine) settings() string {
	return fmt.Sprintf(`node: %q
role: "parsley"
machineClass: "sidecar"
serves: ["sidecar"]
ip: %q
zone: %q
region: "lombardia"
zones: {lombardia-a: "lombardia", lombardia-b: "lombardia", lombardia-c: "lombardia"}
listen: {inbound: %q, outbound: %q, ready: %q, control: %q}
portRange: [%d, %d]
seeds: []
bootstrap: true
faultCounted: false
limits: {cpuShare: 0.32, cores: 1, memoryMb: %d, maxFds: 4100, linkMbps: %d, diskMb: 0}
dataDir: null
discovery: "static"
entry: "static"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"]
tolerate: {machines: 2, zones: 0, regions: 0}
bounds: [%s]
grants: "heartbeat"
app: %q
service: %q
platform: {address: %q, form: "log", writesPerS: 400, readsPerS: 2000, parts: 32, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0, maxRecordBytes: 262144, maxRequestBytes: 2097152, keep_s: 300, partitionMb: 200, minTtlMs: 1000}
`, m.name, m.ip, m.zone, m.addr(inboundPort), m.addr(outboundPort), m.addr(readyPort), m.addr(controlPort), firstLinkPort, lastLinkPort,
		m.c.memoryMB, m.c.site.linkMbps, m.c.site.heartbeat.Milliseconds(), m.c.site.bounds, m.addr(appPort), m.service, m.storeAddr)
}

// configure writes the configuration, in the form and with the limits of the pages' example.
func (c *cluster) configure() {
	c.putConfiguration("unsharded.json")
}

// awaitReady waits until all daemons are ready and a request succeeds at each of them.
func (c *cluster) awaitReady(path string) error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range c.machines {
		for !m.ready() || !m.serves(path) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve requests", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks the daemon as the platform does.
func (m *machine) ready() bool {
	resp, err := readyClient.Get("http://" + m.addr(readyPort) + name("readiness"))
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

func (m *machine) serves(path string) bool {
	cl := &client{m: m}
	defer cl.close()
	return cl.call(request{method: http.MethodPost, path: path, deadline: 2 * time.Second}).status == http.StatusOK
}
