package sidecarsoak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/standin/tcprelay"
)

const (
	keyedService   = "reports"
	bookingService = "bookings"
	paymentService = "payments"
	host           = "soak.example"

	// linkMbps is the rate that the daemons schedule large answers by: one of them takes
	// 72 ms.
	linkMbps = 10

	callerPort, readyPort, controlPort, targetPort = 8304, 8302, 8306, 8301
	firstLinkPort, lastLinkPort, relayPort         = 7620, 7635, 7700
)

// services are the services of the targets of one zone, as in perizia-mesh. The last
// zone has no fourth one.
var services = []string{keyedService, bookingService, paymentService, keyedService}

// instance is one daemon with the target beside it.
type instance struct {
	name, ip, zone, service string
	store                   *tcprelay.Relay // from the daemon to the store
	links                   *tcprelay.Relay // from other daemons to the daemon
}

// deployment is the store, the network and the addresses of all instances.
type deployment struct {
	dir       string // holds settings, process IDs and the targets' runs
	store     *platformtest.Store
	instances []*instance
}

// newDeployment opens the store and the relays and writes the settings of all daemons.
// network is the first three bytes of the loopback addresses.
func newDeployment(dir, network string) (*deployment, error) {
	d := &deployment{dir: dir, store: platformtest.NewStore()}
	for i := range 11 {
		zone := string(rune('a' + i%3))
		n := &instance{name: fmt.Sprintf("sidecar-%s-%d", zone, i/3+1), ip: fmt.Sprintf("%s.%d", network, i+1), zone: zone, service: services[i/3]}
		if n.service == keyedService && i == 10 {
			n.service = paymentService
		}
		storeAddr, err := d.store.Listen()
		if err != nil {
			return nil, err
		}
		if n.store, err = tcprelay.Listen(n.ip+":0", storeAddr); err != nil {
			return nil, err
		}
		if n.links, err = tcprelay.Listen(n.addr(relayPort), n.addr(firstLinkPort)); err != nil {
			return nil, err
		}
		d.instances = append(d.instances, n)
		if err := os.WriteFile(filepath.Join(dir, n.name+".yaml"), []byte(n.settings()), 0o600); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (n *instance) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (n *instance) settings() string {
	f := platformtest.SettingsFile{
		Instance: n.name, IP: n.ip, Zone: n.zone, Service: n.service, Target: n.addr(targetPort), Callers: n.addr(callerPort),
		Ready: n.addr(readyPort), Control: n.addr(controlPort), FirstPort: firstLinkPort, LastPort: lastLinkPort, Store: n.store.Addr(), LinkMbps: linkMbps,
	}
	return f.Text()
}

// signal sends a signal to the daemon, or to the target beside it if what is "target".
func (d *deployment) signal(n *instance, what string, s syscall.Signal) error {
	pid, err := d.processID(n, what)
	if err != nil {
		return err
	}
	return syscall.Kill(pid, s)
}

// processID returns the process ID of the daemon, or of the target beside it if what is
// "target". The supervisor script writes the process IDs.
func (d *deployment) processID(n *instance, what string) (int, error) {
	text, err := os.ReadFile(filepath.Join(d.dir, n.name+"."+what+".pid"))
	if err != nil {
		return 0, err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return 0, fmt.Errorf("process ID of %s: %w", n.name, err)
	}
	return pid, nil
}
