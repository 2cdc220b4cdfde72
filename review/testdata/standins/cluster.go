package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Ports of every machine; each machine has a loopback address of its own.
const (
	inboundPort, appPort, readyPort, outboundPort, controlPort = 8300, 8301, 8302, 8304, 8306
	firstLinkPort, lastLinkPort                                = 7620, 7635
)

const (
	requestHost    = "review.example"
	heartbeatEvery = 870 * time.Millisecond
	slots          = 18
	readyTimeout   = 20 * time.Second
)

// cluster is a small deployment: machines with a daemon and a backend each, and the store.
type cluster struct {
	dir      string // temporary: settings and logs
	record   *record
	store    *platformtest.Store
	machines []*machine
	memoryMB int // limit of each daemon
}

// machine is one instance of the deployment.
type machine struct {
	c                       *cluster
	name, ip, zone, service string
	storeAddr               string
	daemon                  *daemonProcess
	backend                 *backend
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
	return &cluster{dir: dir, record: r, store: platformtest.NewStore(), memoryMB: 284}, nil
}

func (c *cluster) close() {
	for _, m := range c.machines {
		m.daemon.kill()
		m.backend.end()
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
	network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	for i, service := range services {
		storeAddr, err := c.store.Listen()
		if err != nil {
			return err
		}
		m := &machine{
			c: c, name: fmt.Sprintf("sidecar-lombardia-%c-%d", 'a'+rune(i%3), i/3+1), ip: fmt.Sprintf("%s.%d", network, i+1),
			zone: fmt.Sprintf("lombardia-%c", 'a'+rune(i%3)), service: service, storeAddr: storeAddr,
		}
		if err := m.checkPorts(); err != nil {
			return err
		}
		if err := os.WriteFile(m.settingsFile(), []byte(m.settings()), 0o600); err != nil {
			return err
		}
		m.daemon = &daemonProcess{m: m}
		m.backend = newBackend(m)
		c.machines = append(c.machines, m)
	}
	for _, m := range c.machines {
		if err := errors.Join(m.daemon.start(), m.backend.start()); err != nil {
			return err
		}
	}
	return nil
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
limits: {cpuShare: 0.32, cores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "static"
entry: "static"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"]
tolerate: {machines: 2, zones: 0, regions: 0}
bounds: ["seedLagS=3", "reuseAfterS=2", "stableWindowMs=3000", "ackMs=4000", "catchUpS=4", "drainMs=2000", "graceS=6", "lossSlackMs=200", "configApplyMs=2000", "rollbackSlackMs=250", "maxStretchMs=5000", "retryBudgetRatio=0.2", "budgetWindowS=10", "budgetSlack=62", "recoveryS=15", "maxHoldMs=10000", "thawMs=300"]
grants: "heartbeat"
app: %q
service: %q
platform: {address: %q, form: "log", writesPerS: 400, readsPerS: 2000, parts: 32, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0, maxRecordBytes: 262144, maxRequestBytes: 2097152, keep_s: 300, partitionMb: 200, minTtlMs: 1000}
`, m.name, m.ip, m.zone, m.addr(inboundPort), m.addr(outboundPort), m.addr(readyPort), m.addr(controlPort), firstLinkPort, lastLinkPort,
		m.c.memoryMB, heartbeatEvery.Milliseconds(), m.addr(appPort), m.service, m.storeAddr)
}

// configure writes the configuration, in the form and with the limits of the pages' example.
func (c *cluster) configure() {
	c.store.Put("keyed.op", "config", []byte(`{"version":"r7","routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","targetLatencyMs","priority","weightedClusters","maxAttempts","service"],
"rows":[["r-book","`+requestHost+`","/book/","unsafe",20000,10000,1,null,2,"bookings"],["r-pay","`+requestHost+`","/pay/","unsafe",1000,400,1,null,2,"payments"]]},
"services":{"columns":["name","healthPath","maxConnections","protocol","tls","sharded","warmS","grants"],"rows":[["bookings","/healthz",130,"h1",false,null,null,null],["payments","/healthz",130,"h1",false,null,null,null]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"baseVersion":"r5"}`))
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
	resp, err := readyClient.Get("http://" + m.addr(readyPort) + "/api/readiness")
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
