// SPDX-License-Identifier: MIT

// Package query implements the operators' reads: the state of a node, and the error
// budget burn and tenants' requests of all nodes. Package command implements the
// operators' writes.
package query

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/burn"
	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
)

// Paths of a node's admin port.
const (
	StatusPath  = "/v1/status"
	BurnPath    = "/v1/burn"
	TenantsPath = "/v1/tenants"
	TablePath   = "/v1/table"
	MetricsPath = "/debug/vars"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
)

// Status is the state of a node and what it knows of other nodes.
type Status struct {
	Host        string           `json:"host"`
	Zone        string           `json:"zone"`
	Region      string           `json:"region"`
	Incarnation uint64           `json:"incarnation"`
	State       string           `json:"state"`
	Generation  table.Generation `json:"generation"`
	Hash        string           `json:"hash"`
	// ConfirmedMillis is how many milliseconds ago any node last confirmed with the
	// platform that the generation is the newest; -1 if none did.
	ConfirmedMillis int64    `json:"confirmed_ms"`
	Nodes           int      `json:"nodes"`
	Unreachable     []string `json:"unreachable,omitempty"`
	// Evacuated are the availability zones whose servers get no requests.
	Evacuated []string `json:"evacuated,omitempty"`
	Gates     []Gate   `json:"gates"`
	// Blamed are the requests that were running when servers exited, which may have caused
	// that.
	Blamed []Blamed `json:"blamed,omitempty"`
	// Members are the nodes that this node knows, each with the server that announced
	// itself to it.
	Members []Member `json:"members"`
}

// Member is what a node knows of another node or of itself.
type Member struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Server is blank while no server has announced itself to the node.
	Server      string `json:"server,omitempty"`
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	ServerState string `json:"server_state,omitempty"`
}

// Blamed is a request that was running when servers exited.
type Blamed struct {
	// Fingerprint is the same for all attempts of the request. Log lines have it under the
	// key "print".
	Fingerprint string `json:"print"`
	// Verdict is suspect or blamed. Ends is how many servers exited during the request
	// since it was last answered.
	Verdict string `json:"verdict"`
	Ends    int    `json:"ends"`
	// ForMillis is how many more milliseconds nodes refuse the request; 0 for a suspect.
	ForMillis int64 `json:"for_ms,omitempty"`
}

// Gate is the state of one gate.
type Gate struct {
	Service       string `json:"service"`
	Server        string `json:"server"`
	InFlight      int    `json:"in_flight"`
	Queued        int    `json:"queued"`
	Limit         int    `json:"limit"`
	ServiceMicros int64  `json:"service_us"`
	// Slowness is the server's service time as the gate reports it to entries, in percent
	// of the usual one; 0 if not known.
	Slowness int  `json:"slowness"`
	Draining bool `json:"draining"`
	// RateLimit is the limit on its requests that the server reports, in requests per second;
	// nil if it reports none. ServerLeaving says that it has reported that it is leaving.
	RateLimit     *float64 `json:"rate_limit_per_s,omitempty"`
	ServerLeaving bool     `json:"server_leaving,omitempty"`
}

// Burn is the error budget burn of all services, over all nodes that answered.
type Burn struct {
	Services []ServiceBurn `json:"services"`
	// Answered is the number of nodes whose counts are included; Missing are the others.
	Answered int      `json:"answered"`
	Missing  []string `json:"missing,omitempty"`
}

// ServiceBurn is the burn of one service in each window of burn.Windows.
type ServiceBurn struct {
	Service string `json:"service"`
	// ObjectiveMillis and ObjectiveShare are the service level objective, as
	// ObjectiveLatency and ObjectiveShare are in package table.
	ObjectiveMillis float64      `json:"objective_ms"`
	ObjectiveShare  float64      `json:"objective_share"`
	Windows         []WindowBurn `json:"windows"`
}

// WindowBurn is the burn of one service in one window.
type WindowBurn struct {
	Window string `json:"window"`
	burn.Count
	BadShare float64 `json:"bad_share"`
	// Rate is the burn rate: at 1, the failures are exactly those that the objective
	// allows.
	Rate float64 `json:"rate"`
}

// Tenants are the counts of the tenants' requests, over all nodes that answered.
type Tenants struct {
	Tenants []Tenant `json:"tenants"`
	// Seconds is the length of the period that the counts cover.
	Seconds float64 `json:"seconds"`
	// Answered is the number of nodes whose counts are included; Missing are the others.
	Answered int      `json:"answered"`
	Missing  []string `json:"missing,omitempty"`
}

// Tenant is a tenant's quota and the counts of its latest requests.
type Tenant struct {
	Name string `json:"tenant"`
	// Rate and Burst are its quota, 0 if it has none. Keys is the number of its keys.
	Rate  int `json:"rate_per_s"`
	Burst int `json:"burst"`
	Keys  int `json:"keys"`
	TenantCounts
	// Used is the rate of its admitted requests as a share of its quota.
	Used float64 `json:"used"`
	// Hosts are the counts by the host whose node received the requests.
	Hosts map[string]TenantCounts `json:"hosts,omitempty"`
}

// TenantCounts are numbers of requests: all, those refused for the quota, and others
// that failed.
type TenantCounts struct {
	Requests  int `json:"requests"`
	OverQuota int `json:"over_quota"`
	Failed    int `json:"failed"`
}

// requestTimeout bounds a request to a node. It leaves time for a report of burn, for which
// the node waits for other nodes.
const requestTimeout = 5 * time.Second

// GetStatus returns the status of the node with an admin address.
func GetStatus(admin string) (Status, error) {
	return get[Status](admin, StatusPath)
}

// GetBurn returns the burn over all nodes, as collected by one node.
func GetBurn(admin string) (Burn, error) {
	return get[Burn](admin, BurnPath)
}

// GetTenants returns the tenants' requests at all nodes, as collected by one node.
func GetTenants(admin string) (Tenants, error) {
	return get[Tenants](admin, TenantsPath)
}

// GetTable returns the text of the table that a node has in force.
func GetTable(admin string) ([]byte, error) {
	return fetch(admin, TablePath)
}

func get[T any](admin, path string) (T, error) {
	var v T
	body, err := fetch(admin, path)
	if err != nil {
		return v, err
	}
	return v, eris.Wrap(json.Unmarshal(body, &v), "decode answer of node")
}

func fetch(admin, path string) ([]byte, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+admin+path, requestTimeout)
	if err != nil {
		return nil, eris.Wrapf(err, "send request to node at %s", admin)
	}
	if status != fasthttp.StatusOK {
		return nil, eris.Errorf("node at %s answered %d: %s", admin, status, body)
	}
	return body, nil
}

// GetStoredTable returns the table that the platform's service holds.
func GetStoredTable(ctx context.Context, client store.Client) (store.Envelope, error) {
	o, err := client.Get(ctx, store.TableKey)
	if err != nil {
		return store.Envelope{}, eris.Wrap(err, "read the table")
	}
	return store.DecodeEnvelope(o.Body)
}
