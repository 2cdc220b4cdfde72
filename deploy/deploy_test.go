package deploy

import (
	"path/filepath"
	"testing"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/servicefile"
	"github.com/parsleystack/parsleystack/settings"
)

func TestPerizia(t *testing.T) {
	checkDeployment(t, "perizia", map[ident.Service]int{"reports": 4, "bookings": 3, "payments": 4})
}

func TestRaumtafel(t *testing.T) {
	checkDeployment(t, "raumtafel", map[ident.Service]int{"door-panel-status": 4, "room-booking": 3, "release-and-agenda": 4})
}

// checkDeployment loads all files of a deployment. It checks that every service has
// the wanted number of targets in three availability zones, and that no address is
// used twice.
func checkDeployment(t *testing.T, dir string, want map[ident.Service]int) {
	services := loadServices(t, dir)
	targets := map[ident.Service]int{}
	zones := map[ident.Service]map[ident.Zone]bool{}
	used := map[string]string{}
	for _, path := range glob(t, dir, "daemons", "*.yaml") {
		d, err := settings.Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if !services[d.Service] {
			t.Errorf("%s: service %s has no service file", path, d.Service)
		}
		targets[d.Service]++
		if zones[d.Service] == nil {
			zones[d.Service] = map[ident.Zone]bool{}
		}
		zones[d.Service][d.Zone] = true
		for _, addr := range []string{d.Listen.Callers, d.Listen.Daemons, d.Listen.Admin, d.Target.Addr} {
			if other, found := used[addr]; found {
				t.Errorf("%s: %s is also used by %s", path, addr, other)
			}
			used[addr] = path
		}
	}
	for svc, n := range want {
		if targets[svc] != n || len(zones[svc]) != 3 {
			t.Errorf("%s has %d targets in %d zones, want %d in 3", svc, targets[svc], len(zones[svc]), n)
		}
	}
}

func loadServices(t *testing.T, dir string) map[ident.Service]bool {
	services := map[ident.Service]bool{}
	for _, path := range glob(t, dir, "services", "*.parsley.yaml") {
		spec, err := servicefile.Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		services[spec.Name] = true
	}
	return services
}

func glob(t *testing.T, elem ...string) []string {
	files, err := filepath.Glob(filepath.Join(elem...))
	if err != nil || len(files) == 0 {
		t.Fatalf("no files match %v: %v", elem, err)
	}
	return files
}
