package simwire

import "encoding/json"

type batch struct {
	Moment   *int64            `json:"moment-us"`
	Happened []json.RawMessage `json:"happened"`
}

type event struct {
	Op    string          `json:"op"`
	Proxy string          `json:"proxy-id"`
	Seed  uint64          `json:"prng"`
	Conf  json.RawMessage `json:"conf"`
	Ref   int             `json:"ref"`
	Hosts []host          `json:"hosts"`
	Mode  int             `json:"mode"`

	Job     int64   `json:"job"`
	Asset   string  `json:"asset"`
	Kind    int     `json:"kind"`
	Expires int64   `json:"expires-in-us"`
	SizeKB  float64 `json:"size-kb"`
	Part    float64 `json:"part"`
	SetNo   float64 `json:"set-no"`

	Mark       uint64 `json:"mark"`
	Try        int    `json:"try"`
	Verdict    int    `json:"verdict"`
	Duration   int64  `json:"duration-us"`
	Finished   bool   `json:"finished"`
	Note       int    `json:"note"`
	SourceWait int64  `json:"source-wait-us"`
	Age        int64  `json:"age-us"`
}

type host struct {
	Since  int64   `json:"online-since-us"`
	Status int     `json:"status"`
	Kind   int     `json:"class-of-host"`
	Zone   int     `json:"rack-zone"`
	Share  float64 `json:"share"`
	Store  string  `json:"store"`
	Stripe int     `json:"stripe"`
}

type action struct {
	Op       string  `json:"op"`
	Proxy    string  `json:"proxy-id"`
	Job      *int64  `json:"job,omitempty"`
	Store    string  `json:"store,omitempty"`
	Source   string  `json:"from-where,omitempty"`
	Rank     *int    `json:"hold-rank,omitempty"`
	Manner   int     `json:"manner,omitempty"`
	Age      int64   `json:"age-us,omitempty"`
	CoolDown int64   `json:"cool-down-us,omitempty"`
	Try      *int    `json:"try,omitempty"`
	In       *int64  `json:"in-us,omitempty"`
	Mark     *uint64 `json:"mark,omitempty"`
	Message  string  `json:"message,omitempty"`
}

type reply struct {
	Cmds []action `json:"cmds"`
}
