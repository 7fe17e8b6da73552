// SPDX-License-Identifier: MIT

// Package client is the library for callers. It sends requests to a site through any
// of its nodes and fails over to the next node.
//
// Callers can use any HTTP client. This one sends a request to another node if the
// first one could not be reached, or replied that the request was not run and that other
// nodes may run it. In all other cases it repeats only requests that are marked as
// repeatable.
//
//	c := client.New([]string{"10.0.0.1:8080", "10.0.0.2:8080"})
//	answer, err := c.Do(client.Request{Service: "arzator", Method: "POST", Path: "/restart/7"})
//
// Every error of [Client.Do] wraps [ErrNotRun] or [ErrUnknown], so that the caller
// knows whether the request may have been run.
package client

import (
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/backend"
	"github.com/ryehaven/ryehaven/header"
)

// Errors of Do.
var (
	// ErrNotRun says that the request was not run. If a node refused it, the error is a
	// [Refusal].
	ErrNotRun = eris.New("request was not run")
	// ErrUnknown says that the request may have been run.
	ErrUnknown = eris.New("it is not known whether the request was run")
)

// maxIdleTime is how long an idle connection is kept. It is shorter than the time that
// nodes announce in the Keep-Alive field by default, 5 s, so that no request is sent on a
// connection that a node may be closing.
const maxIdleTime = 4 * time.Second

// DefaultTimeout is the timeout of a request whose Timeout is 0.
const DefaultTimeout = 5 * time.Second

// Request is a request to a service.
type Request struct {
	Service string
	Method  string
	// Path is the path and query.
	Path   string
	Header map[string]string
	Body   []byte
	// Repeatable says whether the request may run more than once. If it is nil, nodes
	// decide by the method and the table, and Do repeats only what was not run.
	Repeatable *bool
	// Priority is urgent, normal or bulk, or blank for the priority in the table.
	Priority string
	// Timeout bounds the request with all its attempts; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Answer is a backend server's answer.
type Answer struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Refusal is the error of a request that a node refused. It wraps ErrNotRun.
type Refusal struct {
	RetryAfter time.Duration
	Detail     string
	// Final says that other nodes would refuse the request too.
	Final bool
}

// Error implements error.
func (r *Refusal) Error() string { return r.Detail }

// Unwrap returns ErrNotRun.
func (r *Refusal) Unwrap() error { return ErrNotRun }

// Client sends requests to the nodes of a site. Create it with New. It is safe for
// concurrent use.
type Client struct {
	nodes []*backend.Pool
	next  atomic.Uint64
}

// Limits of the connections to one node.
const (
	maxConns    = 4096
	dialTimeout = time.Second
)

// New returns a client of the nodes with the given caller addresses. There must be at least
// one.
func New(nodes []string) *Client {
	c := &Client{}
	for _, node := range nodes {
		c.nodes = append(c.nodes, &backend.Pool{Address: node, MaxConns: maxConns, IdleTimeout: maxIdleTime, DialTimeout: dialTimeout})
	}
	return c
}

// Do sends a request to one node after the other until one returns a server's answer, the
// request must not be repeated, its deadline has passed, or all nodes were tried.
func (c *Client) Do(r Request) (Answer, error) {
	if r.Timeout == 0 {
		r.Timeout = DefaultTimeout
	}
	deadline := time.Now().Add(r.Timeout)
	first := c.next.Load()
	var err error
	for i := range uint64(len(c.nodes)) {
		var answer Answer
		answer, err = send(c.nodes[(first+i)%uint64(len(c.nodes))], r, deadline)
		if err == nil || !r.mayTryNextNode(err) || time.Now().After(deadline) {
			return answer, err
		}
		c.next.CompareAndSwap(first+i, first+i+1)
	}
	return Answer{}, err
}

// mayTryNextNode reports whether the request may be sent to another node after an error.
func (r *Request) mayTryNextNode(err error) bool {
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		return !refusal.Final
	case errors.Is(err, ErrNotRun):
		return true
	}
	return r.Repeatable != nil && *r.Repeatable
}

func send(node *backend.Pool, r Request, deadline time.Time) (Answer, error) {
	node.CloseExpired(time.Now())
	exchange, err := node.Open(false)
	if err != nil {
		return Answer{}, eris.Wrap(ErrNotRun, err.Error())
	}
	request := fasthttp.AcquireRequest()
	defer exchange.AfterWrite(func() { fasthttp.ReleaseRequest(request) })
	r.writeTo(request, time.Until(deadline))
	body, err := receive(exchange, request, deadline)
	exchange.Finish(err == nil)
	if err != nil {
		return Answer{}, eris.Wrap(ErrUnknown, err.Error())
	}
	response := &exchange.Response
	switch string(response.Header.Peek(header.Outcome)) {
	case header.NotRun:
		return Answer{}, refusalOf(response, body)
	case header.Unknown:
		return Answer{}, eris.Wrap(ErrUnknown, string(body))
	}
	answer := Answer{
		Status: response.StatusCode(),
		Header: map[string]string{},
		Body:   body,
	}
	for name, value := range response.Header.All() {
		answer.Header[string(name)] = string(value)
	}
	return answer, nil
}

// receive sends a request and returns the body of its response.
func receive(exchange *backend.Exchange, request *fasthttp.Request, deadline time.Time) ([]byte, error) {
	// Leaves time for the node's own reply at the deadline to arrive.
	const grace = 50 * time.Millisecond
	if err := exchange.Send(request, deadline.Add(grace)); err != nil {
		return nil, err
	}
	if exchange.Body() == nil {
		return nil, nil
	}
	return io.ReadAll(exchange.Body())
}

func (r *Request) writeTo(request *fasthttp.Request, left time.Duration) {
	request.SetRequestURI(r.Path)
	request.Header.DisableSpecialHeader() // Otherwise the library rewrites cookies and adds fields.
	request.Header.Set(fasthttp.HeaderHost, r.Service)
	request.Header.SetMethod(r.Method)
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	request.Header.Set(header.Deadline, strconv.FormatFloat(left.Seconds()*1000, 'f', 3, 64))
	if r.Repeatable != nil {
		value := header.No
		if *r.Repeatable {
			value = header.Yes
		}
		request.Header.Set(header.Repeatable, value)
	}
	if r.Priority != "" {
		request.Header.Set(header.Priority, r.Priority)
	}
	request.SetBodyRaw(r.Body)
}

func refusalOf(response *fasthttp.Response, body []byte) *Refusal {
	ms, err := strconv.Atoi(string(response.Header.Peek(header.RetryAfterMs)))
	if err != nil {
		ms = 0 // The refusal has no retry time, as for an invalid request.
	}
	status := response.StatusCode()
	return &Refusal{
		RetryAfter: time.Duration(ms) * time.Millisecond,
		Detail:     string(body),
		Final: string(response.Header.Peek(header.Retry)) == header.No ||
			status < fasthttp.StatusInternalServerError || status == fasthttp.StatusGatewayTimeout,
	}
}
