package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/ratelimit"
)

// announcementLogInterval is the shortest time between two lines about changed limits, or
// about malformed announcements. A target in need may state another limit in each response.
const announcementLogInterval = time.Second

// announcementState is what the local target has stated about itself. backend.mu guards it.
type announcementState struct {
	limit           ratelimit.Stated
	nextChangeLog   clock.Time
	nextIgnoredLog  clock.Time
	leavingObserved bool
}

// observeAnnouncement applies what the target states about itself in its response to r,
// which was sent no earlier than sent.
func (b *backend) observeAnnouncement(r *targetRequest, sent clock.Time) {
	if platform.WrongTarget(&r.httpResp) {
		return // another target at the same address may have sent it
	}
	a, err := platform.ReadAnnouncement(r.httpResp.Header.All())
	now := clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.incarnation.Load(); current.target != r.incarnation.target {
		return
	}
	if err != nil {
		b.ignoreAnnouncement(r, err, now)
	}
	if a.Limited || !a.Malformed {
		b.observeLimit(r, a, sent, now)
	}
	if a.Leaving && !b.announced.leavingObserved {
		b.announced.leavingObserved = true
		logevent.Log(b.d.log, logevent.TargetStatesLeaving, zap.ByteString("request", r.req.RequestID), zap.String("target", r.incarnation.target.ID))
	}
}

// observeLimit applies the limit in a response, or its absence. The caller holds b.mu.
func (b *backend) observeLimit(r *targetRequest, a platform.Announcement, sent, now clock.Time) {
	s := &b.announced
	old := s.limit
	if !s.limit.Observe(a.Limited, a.Rate, sent, now) {
		return
	}
	if old.Limited && s.limit.Limited && now.Before(s.nextChangeLog) {
		return
	}
	s.nextChangeLog = now.Add(announcementLogInterval)
	fields := []zap.Field{zap.ByteString("request", r.req.RequestID), zap.String("target", r.incarnation.target.ID), zap.Bool("limited", s.limit.Limited)}
	if s.limit.Limited {
		fields = append(fields, zap.Float64("per_second", s.limit.Rate))
	}
	if old.Limited {
		fields = append(fields, zap.Float64("previous_per_second", old.Rate))
	}
	logevent.Log(b.d.log, logevent.TargetLimitChanged, fields...)
}

// ignoreAnnouncement logs and counts an announcement that can't be read. The caller holds
// b.mu.
func (b *backend) ignoreAnnouncement(r *targetRequest, err error, now clock.Time) {
	b.d.metrics.count(metricAnnouncementsIgnored)
	if now.Before(b.announced.nextIgnoredLog) {
		return
	}
	b.announced.nextIgnoredLog = now.Add(announcementLogInterval)
	logevent.Log(b.d.log, logevent.AnnouncementIgnored, zap.ByteString("request", r.req.RequestID), zap.String("target", r.incarnation.target.ID), zap.Error(err))
}

// statedLimit returns the limit that the target has stated, if there is one.
func (b *backend) statedLimit() ratelimit.Stated {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.announced.limit
}
