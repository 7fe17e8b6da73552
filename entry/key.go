// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/tenant"
)

// authChallenge tells a caller in a 401 answer how to authenticate, as RFC 9110 section
// 11.6.1 requires.
const authChallenge = `Bearer realm="ryehaven"`

// identity is the tenant that sent a request, and its key. The zero value is an anonymous
// caller.
type identity struct {
	tenant *table.Tenant
	key    tenant.Fingerprint
}

// validIn reports whether a table still has the identity's key for the same tenant.
func (i identity) validIn(t *table.Table) bool {
	if i.tenant == nil {
		return true
	}
	holder := t.TenantByKey(i.key)
	return holder != nil && holder.Name == i.tenant.Name
}

// authenticate finds the tenant that sent a request by its key. The identity is anonymous
// if there is no valid key and the route needs none. If ok is false, the request was
// already answered.
func (e *Entry) authenticate(ctx *fasthttp.RequestCtx, d destination) (who identity, ok bool) {
	if !d.table.RequiresKeys() {
		return who, true
	}
	h := &ctx.Request.Header
	key, hasKey := tenant.Credential(h.PeekAll(fasthttp.HeaderAuthorization))
	if hasKey {
		who.key = tenant.FingerprintOf(key)
		who.tenant = d.table.TenantByKey(who.key)
	}
	public := d.route != nil && d.route.Public
	upToDate := e.settings.KeysUpToDate == nil || e.settings.KeysUpToDate(time.Now())
	if !upToDate {
		who.tenant = nil
	}
	switch {
	case who.tenant != nil, public:
		return who, true
	case hasKey && !upToDate:
		e.refuseForNow(ctx, "this node can't know whether it has the newest keys")
	case hasKey:
		e.refuseKey(ctx, "the key is not known")
	default:
		e.refuseKey(ctx, "the route asks for one Authorization field with one bearer key")
	}
	e.expectCallerRetry(ctx, d.route)
	return identity{}, false
}

// refuseKey answers a request whose key belongs to no tenant. An old table may lack a key
// that the newest one has, and 401 would tell the caller not to retry.
func (e *Entry) refuseKey(ctx *fasthttp.RequestCtx, detail string) {
	if e.settings.TableMayBeStale != nil && e.settings.TableMayBeStale(time.Now()) {
		e.refuseForNow(ctx, detail+", by a table that may be an old one")
		return
	}
	e.Counters.UnknownKeys.Add(1)
	e.refuseBad(ctx, fasthttp.StatusUnauthorized, detail)
	ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, authChallenge)
}

// keyStillValid reports whether the key of a request is still in force. A request whose
// key has been revoked since it arrived is not sent again.
func (e *Entry) keyStillValid(r *request) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return r.who.validIn(e.table)
}
