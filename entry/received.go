// SPDX-License-Identifier: MIT

package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/uri"
	"github.com/ryehaven/ryehaven/wire"
)

// received is the head of a caller's request as it was received. Nothing of it may come from
// the HTTP library's parsed URI or fields, some of which are rewritten: a server gets what the
// caller has sent.
type received struct {
	method string
	target uri.Target
	// host is the authority of the target, or else the value of the Host field.
	host   string
	fields []wire.Field
}

// badHead says why a request is refused for its head.
type badHead struct {
	status int
	detail string
}

var (
	connectMethod = &badHead{fasthttp.StatusNotImplemented, "the method CONNECT is not supported"}
	userinfoHost  = &badHead{fasthttp.StatusBadRequest, "the request's host must contain no userinfo"}
	ambiguousPath = &badHead{fasthttp.StatusBadRequest, "the request's path belongs to another route once its escapes are decoded or its dot segments removed"}
)

// readHead reads the head of a request. It returns a badHead if no server may get the request.
func readHead(ctx *fasthttp.RequestCtx) (received, *badHead) {
	h := &ctx.Request.Header
	r := received{method: string(h.Method()), host: strings.TrimSpace(string(h.Host()))}
	if h.IsConnect() {
		return r, connectMethod
	}
	var err error
	if r.target, err = uri.Parse(string(h.RequestURI())); err != nil {
		return r, &badHead{fasthttp.StatusBadRequest, err.Error()}
	}
	if r.target.Authority != "" {
		r.host = r.target.Authority
	}
	if strings.Contains(r.host, "@") {
		return r, userinfoHost
	}
	if r.fields, err = header.ParseFields(h.RawHeaders()); err != nil {
		return r, &badHead{fasthttp.StatusBadRequest, err.Error()}
	}
	return r, nil
}

// isAmbiguous reports whether a backend server may take the path for one of another route than
// that by which the node has judged the request.
func (r *received) isAmbiguous(d destination) bool {
	if d.route == nil {
		return false
	}
	for _, reading := range uri.Readings(r.target.Path()) {
		if d.table.Match(r.hostName(), reading) != d.route {
			return true
		}
	}
	return false
}

// hostName returns the host in lower case and without the port.
func (r *received) hostName() string {
	name, _, _ := strings.Cut(r.host, ":")
	return strings.ToLower(name)
}

// forwardedFields returns the fields that a server gets, apart from those that nodes set. The
// credentials are left out if the table has keys: a server gets the tenant's name and never a
// key, not even a key that is no longer valid.
func (r *received) forwardedFields(dialect *header.Dialect, hasKeys bool) []wire.Field {
	fields := make([]wire.Field, 0, len(r.fields)+1)
	if r.host != "" {
		fields = append(fields, wire.Field{Name: fasthttp.HeaderHost, Value: r.host})
	}
	for _, f := range dialect.FromRequest(r.fields) {
		if strings.EqualFold(f.Name, fasthttp.HeaderHost) || hasKeys && strings.EqualFold(f.Name, fasthttp.HeaderAuthorization) {
			continue
		}
		fields = append(fields, f)
	}
	return fields
}
