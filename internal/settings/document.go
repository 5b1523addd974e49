package settings

import (
	"cloverdoor/policy"
	"time"
)

// conf mirrors the JSON object; unknown keys are ignored.
type conf struct {
	Areas   []string `json:"areas"`
	Classes []struct {
		AimStretch float64 `json:"aim-stretch"`
		Gain       float64 `json:"gain"`
		Deadline   *int64  `json:"deadline-us"`
		KeyScope   string  `json:"key-scope"`
		Name       string  `json:"name"`
		Promise    int64   `json:"promise-us"`
		Semantics  string  `json:"semantics"`
		Stream     bool    `json:"stream"`
		Window     int64   `json:"window-us"`
	} `json:"classes"`
	Costs struct {
		Handshake float64 `json:"handshake"`
	} `json:"costs"`
	Domain struct {
		AttachedTo        []int     `json:"attached-to"`
		CanJoin           bool      `json:"can-join"`
		Fresh             []int64   `json:"class-fresh-us"`
		ClearedWithin     int64     `json:"cleared-within-us"`
		CountByZone       []int     `json:"count-by-zone"`
		Direct            bool      `json:"direct"`
		Grace             []int64   `json:"grace-for-us"`
		FlowKBps          float64   `json:"one-flow-kb-per-s"`
		ParentFloor       float64   `json:"parent-floor"`
		ParentLimitFactor float64   `json:"parent-limit-factor"`
		PassOn            []bool    `json:"pass-on"`
		PeersFill         string    `json:"peers-fill"`
		PipeKBps          []float64 `json:"pipe-kb-per-s"`
		PurgeSlack        int64     `json:"purge-slack-us"`
		RootKind          int       `json:"root-kind"`
		UpperCold         int64     `json:"upper-cold-us"`
		UpperKind         *int      `json:"upper-kind"`
	} `json:"domain"`
	GroupSize int      `json:"group-size"`
	Index     int      `json:"index"`
	HostTypes []string `json:"host-types"`
	Limits    struct {
		ConnIdle       int64 `json:"conn-idle-us"`
		ConnectTimeout int64 `json:"connect-timeout-us"`
		MaxOpen        int   `json:"max-open"`
		StreamsPerConn int   `json:"streams-per-conn"`
		MaxAttempts    *int  `json:"max-attempts"`
		MaxRetryAfter  int64 `json:"max-retry-after-us"`
		RetryAfter     *bool `json:"retry-after"`
		MayCancel      bool  `json:"may-cancel"`
		SecondCopies   bool  `json:"second-copies"`
	} `json:"limits"`
	Rules struct {
		FallMultiple  float64 `json:"fall-multiple"`
		Fall          int64   `json:"fall-us"`
		StartCapacity float64 `json:"start-capacity"`
		WarmWithin    int64   `json:"warm-within-us"`
	} `json:"rules"`
	WeightSource string `json:"weight-source"`
	Zone         int    `json:"zone"`
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func at[T any](list []T, i int) (value T) {
	if i >= 0 && i < len(list) {
		value = list[i]
	}
	return value
}

var effects = map[string]policy.Idempotency{
	"read_like": policy.Idempotent, "idempotency_key": policy.IdempotencyKey, "non_idempotent": policy.NonIdempotent,
}

var scopes = map[string]policy.DeduplicationScope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}

var siblings = map[string]policy.Siblings{"location": policy.SiblingsZone, "any": policy.SiblingsAny}
