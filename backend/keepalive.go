// SPDX-License-Identifier: MIT

package backend

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// keepAliveShare is the share of the server's idle timeout for which a connection is kept. The rest
// covers the way of the next request and the inaccuracy of timers.
const keepAliveShare = 0.8

// idleTimeout is how long a connection is kept between requests. It is called with the lock held.
func (p *Pool) idleTimeout() time.Duration {
	if p.keepAlive == nil {
		return p.IdleTimeout
	}
	return min(p.IdleTimeout, time.Duration(keepAliveShare*float64(*p.keepAlive)))
}

// observeKeepAlive takes the server's idle timeout from a response.
func (p *Pool) observeKeepAlive(h *fasthttp.ResponseHeader) {
	field := h.Peek(fasthttp.HeaderKeepAlive)
	if len(field) == 0 {
		return
	}
	if timeout, ok := parseKeepAlive(string(field)); ok {
		p.mu.Lock()
		p.keepAlive = &timeout
		p.mu.Unlock()
	}
}

// maxKeepAliveSeconds bounds the plausible timeouts.
const maxKeepAliveSeconds = 1 << 20

// parseKeepAlive returns the timeout parameter of a Keep-Alive field, as RFC 2068 section 19.7.1
// describes it; ok is false if there is no valid one.
func parseKeepAlive(text string) (timeout time.Duration, ok bool) {
	for parameter := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(parameter, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.Trim(value, " \t\""))
		if err != nil || seconds < 0 || seconds > maxKeepAliveSeconds {
			return 0, false
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}
