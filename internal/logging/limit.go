package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// A message may come burst times in each interval; the next one that is let through tells how many were not.
const (
	burst    = 20
	interval = 10 * time.Second
)

// New returns a structured logger. Each line names the instance; a message that repeats is bounded.
func New(to io.Writer, instance string) *slog.Logger {
	text := slog.NewTextHandler(to, &slog.HandlerOptions{Level: slog.LevelInfo})
	return slog.New(&limiter{next: text, budgets: newBudgets(time.Now)}).With("instance", instance)
}

// limiter bounds how often each message is handled. Its budgets are shared by all loggers that are derived from one.
type limiter struct {
	next    slog.Handler
	budgets *budgets
}

// Enabled reports whether the level is logged at all.
func (l *limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle passes a record on if its message has budget left.
func (l *limiter) Handle(ctx context.Context, record slog.Record) error {
	allowed, suppressed := l.budgets.take(record.Message)
	if !allowed {
		return nil
	}
	if suppressed > 0 {
		record.AddAttrs(slog.Int("suppressed", suppressed))
	}
	return l.next.Handle(ctx, record)
}

// WithAttrs returns a handler with further attributes and the same budgets.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{next: l.next.WithAttrs(attrs), budgets: l.budgets}
}

// WithGroup returns a handler with a further group and the same budgets.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{next: l.next.WithGroup(name), budgets: l.budgets}
}

// budgets counts messages. Messages are constants of the program, so the map is bounded.
type budgets struct {
	now  func() time.Time
	mu   sync.Mutex
	used map[string]*budget
}

type budget struct {
	since      time.Time
	count      int
	suppressed int
}

func newBudgets(now func() time.Time) *budgets {
	return &budgets{now: now, used: map[string]*budget{}}
}

// take uses up one place for a message. It says whether there was one, and how many found none since the last that did.
func (b *budgets) take(message string) (allowed bool, suppressed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, entry := b.now(), b.used[message]
	if entry == nil {
		entry = &budget{since: now}
		b.used[message] = entry
	}
	if now.Sub(entry.since) >= interval {
		entry.since, entry.count = now, 0
	}
	if entry.count >= burst {
		entry.suppressed++
		return false, 0
	}
	entry.count++
	suppressed, entry.suppressed = entry.suppressed, 0
	return true, suppressed
}
