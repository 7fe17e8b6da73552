// SPDX-License-Identifier: MIT

package entry

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/wire"
)

// observeServerState takes what a server reports about itself from its response. It must be called
// before the response is forwarded to the caller: from then on this host must act on the report,
// whatever becomes of the server's own node.
func (e *Entry) observeServerState(s *service, a *attempt, m *wire.Response) {
	dialect := &e.settings.Dialect
	var limits []string
	leaving := false
	for _, f := range m.Header {
		switch {
		case dialect.RateLimit != "" && strings.EqualFold(f.Name, dialect.RateLimit):
			limits = append(limits, f.Value)
		case dialect.Leaving != "" && strings.EqualFold(f.Name, dialect.Leaving):
			leaving = leaving || header.IsLeaving(f.Value)
		}
	}
	if len(limits) == 0 && !leaving && a.rateLimit == wire.UnknownRateLimit {
		return // A limit that became known after the request was sent is newer than the response.
	}
	perSecond, reported, valid := header.ParseRateLimit(limits...)
	mayLift := valid && m.Status < fasthttp.StatusInternalServerError
	s.mu.Lock()
	s.pool.ObserveRateLimit(time.Now(), a.began, a.server, perSecond, reported, mayLift)
	announced := a.server.Announced
	s.mu.Unlock()
	if leaving && announced {
		e.serverLeaving(s, a)
	}
}
