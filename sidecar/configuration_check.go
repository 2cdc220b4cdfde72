package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
)

const (
	// configurationFetchTimeout bounds the fetch of the configuration from one daemon.
	// It leaves time for another daemon within the bound of the configuration.
	configurationFetchTimeout = 400 * time.Millisecond
	// configurationFetchWidth is the number of daemons that are asked at a time.
	configurationFetchWidth = 2
	// checkWhenBehindFor is how long another daemon may have a newer configuration
	// before the store is asked, too.
	checkWhenBehindFor = 500 * time.Millisecond
)

// checkConfiguration reads the configuration from the store if it has not been
// confirmed recently. The long poll normally returns a new version at once; the check
// bounds the delay if its connection delivers nothing.
func (c *control) checkConfiguration(now clock.Time) {
	s := &c.config
	behind := c.routes != nil && c.newestConfig > c.configVersion() && now.Sub(s.newestAt) >= checkWhenBehindFor
	if !s.loaded || !s.tracker.Due(now, behind) {
		return
	}
	s.tracker.Started(now)
	go c.d.checkConfiguration(s.next)
}

// checkConfiguration reads the configuration records from an offset on.
func (d *Daemon) checkConfiguration(from metastore.Offset) {
	partition, _ := platform.ConfigurationPartition()
	ctx := context.Background() // the store client bounds its calls
	sent := clock.Now()
	b, err := d.directStore.Read(ctx, partition, from, 0)
	var truncated *metastore.TruncatedError
	var era *metastore.EraError
	snapshot := errors.As(err, &truncated) || errors.As(err, &era) || err == nil && b.End < from
	if snapshot {
		sent = clock.Now()
		b, err = d.directStore.Newest(ctx, partition)
	}
	d.expectPolled(&d.configurationPolled, b)
	d.control.do(func() { d.control.configurationChecked(b, sent, snapshot, err) })
}

func (c *control) configurationChecked(b metastore.Batch, sent clock.Time, snapshot bool, err error) {
	if err != nil {
		c.config.tracker.Failed(clock.Now(), rand.Float64())
		logevent.Log(c.log, logevent.ConfigurationUnconfirmed, zap.Duration("config_age", c.configurationAge(clock.Now())), zap.Error(err))
		return
	}
	c.config.tracker.Succeeded(sent, rand.Float64())
	c.configurationRead(b, sent, fromStoreCheck, snapshot)
}

// fetchConfiguration starts to fetch the configuration from daemons that have a newer
// one for catchUpAfter. Successive fetches ask different daemons.
func (c *control) fetchConfiguration(now clock.Time) {
	s := &c.config
	ahead := c.configurationHolders()
	if len(ahead) == 0 {
		s.behindSince = clock.Never
		return
	}
	if s.behindSince == clock.Never {
		s.behindSince = now
	}
	if s.fetching > 0 || now.Sub(s.behindSince) < catchUpAfter {
		return
	}
	for range min(configurationFetchWidth, len(ahead)) {
		s.fetching++
		s.fetches++
		go c.d.fetchConfiguration(ahead[s.fetches%len(ahead)])
	}
}

// configurationHolders returns the addresses of the daemons with a newer
// configuration, those that are not suspected if there are any.
func (c *control) configurationHolders() []string {
	var ahead, suspected []string
	for _, p := range c.dir.Peers() {
		switch {
		case p.Config <= c.configVersion():
		case c.suspected[ident.Instance(p.Member.Instance)]:
			suspected = append(suspected, p.Member.Addr)
		default:
			ahead = append(ahead, p.Member.Addr)
		}
	}
	if len(ahead) == 0 {
		return suspected
	}
	return ahead
}

// fetchConfiguration fetches and applies the configuration of another daemon.
func (d *Daemon) fetchConfiguration(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), configurationFetchTimeout)
	defer cancel()
	value, err := d.peerLinks.Call(ctx, addr, callConfig, nil)
	if err != nil {
		logevent.Log(d.log, logevent.UpdateNotFetched, zap.String("from", addr), zap.Error(err))
		d.peerLinks.Renew(addr) // its statuses arrive, but its answers may not
	}
	d.control.do(func() {
		d.control.config.fetching--
		if err == nil {
			d.control.applyConfiguration(value, addr)
		}
	})
}
