// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/tenant"
)

// challenge says in a 401 how a caller names itself, as RFC 9110 section 11.6.1 asks.
const challenge = `Bearer realm="ryehaven"`

// authenticate returns whose request it is by its key; nil if no key says and none is
// asked for. If ok is false, it has answered. Whatever the fields say, they end here: a
// server gets the tenant's name and never a key, also one that is no longer known.
func (e *Entry) authenticate(ctx *fasthttp.RequestCtx, d destination) (holder *table.Tenant, ok bool) {
	if !d.table.Keyed() {
		return nil, true
	}
	h := &ctx.Request.Header
	key, named := tenant.Credential(h.PeekAll(fasthttp.HeaderAuthorization))
	if named {
		holder = d.table.Holder(tenant.FingerprintOf(key))
	}
	h.Del(fasthttp.HeaderAuthorization)
	public := d.route != nil && d.route.Public
	known := e.settings.KeysKnown == nil || e.settings.KeysKnown(time.Now())
	if !known {
		holder = nil
	}
	switch {
	case holder != nil, public:
		return holder, true
	case named && !known:
		e.refuseForNow(ctx, "this node can't know whether it has the newest keys")
	case named:
		e.refuseKey(ctx, "the key is not known")
	default:
		e.refuseKey(ctx, "the route asks for one Authorization field with one bearer key")
	}
	return nil, false
}

// refuseKey answers a request whose key names nobody. An old table may not know a key
// that the newest one does, and 401 would tell the caller not to come back.
func (e *Entry) refuseKey(ctx *fasthttp.RequestCtx, detail string) {
	if e.settings.Doubts != nil && e.settings.Doubts(time.Now()) {
		e.refuseForNow(ctx, detail+", by a table that may be an old one")
		return
	}
	e.Counters.NoKey.Add(1)
	ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, challenge)
	e.refuseBad(ctx, fasthttp.StatusUnauthorized, detail)
}
