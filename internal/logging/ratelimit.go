package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxRecordsPerInterval is the maximum number of records with the same message that are logged in an
	// interval: enough to see which servers or requests are concerned, and far fewer than a Writer can queue.
	maxRecordsPerInterval = 20

	// quotaInterval is the length of an interval. An interval of a message begins with the message's first
	// record after the previous interval has ended.
	quotaInterval = 10 * time.Second
)

// New returns a structured logger for level Info and above. Each line has the attribute "instance". Records
// whose message repeats too often are suppressed; the next record with that message that is logged
// gives their number in its attribute "suppressed".
func New(dst io.Writer, instance string) *slog.Logger {
	textHandler := slog.NewTextHandler(dst, &slog.HandlerOptions{Level: slog.LevelInfo})
	limiter := &rateLimiter{next: textHandler, quotas: newQuotas(time.Now)}
	return slog.New(limiter).With("instance", instance)
}

// rateLimiter is a slog.Handler that limits how often each message is logged. All handlers derived from one
// share its quotas.
type rateLimiter struct {
	next   slog.Handler
	quotas *quotas
}

// Enabled reports whether records of the level are logged.
func (l *rateLimiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle forwards a record unless its message has used up its quota.
func (l *rateLimiter) Handle(ctx context.Context, record slog.Record) error {
	allowed, suppressed := l.quotas.take(record.Message)
	if !allowed {
		return nil
	}
	if suppressed > 0 {
		record.AddAttrs(slog.Int("suppressed", suppressed))
	}
	return l.next.Handle(ctx, record)
}

// WithAttrs returns a handler with additional attributes.
func (l *rateLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimiter{next: l.next.WithAttrs(attrs), quotas: l.quotas}
}

// WithGroup returns a handler with an additional group.
func (l *rateLimiter) WithGroup(name string) slog.Handler {
	return &rateLimiter{next: l.next.WithGroup(name), quotas: l.quotas}
}

// quotas counts records by message. Messages are constants of the program, which bounds the map. It may be
// used by several goroutines at once.
type quotas struct {
	now       func() time.Time
	mu        sync.Mutex
	byMessage map[string]*quota
}

// quota is the count of records with one message.
type quota struct {
	intervalStart time.Time
	logged        int // records logged in the interval
	suppressed    int // records since the last one that was logged
}

func newQuotas(now func() time.Time) *quotas {
	return &quotas{now: now, byMessage: map[string]*quota{}}
}

// take reports whether a record with the message may be logged and, if so, how many have been suppressed
// since the last record that was logged.
func (q *quotas) take(message string) (allowed bool, suppressed int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	entry := q.byMessage[message]
	if entry == nil {
		entry = &quota{intervalStart: now}
		q.byMessage[message] = entry
	}
	if now.Sub(entry.intervalStart) >= quotaInterval {
		entry.intervalStart = now
		entry.logged = 0
	}
	if entry.logged >= maxRecordsPerInterval {
		entry.suppressed++
		return false, 0
	}
	entry.logged++
	suppressed = entry.suppressed
	entry.suppressed = 0
	return true, suppressed
}
