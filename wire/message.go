// SPDX-License-Identifier: MIT

package wire

import "github.com/vmihailenco/msgpack/v5"

// Versions of the protocol.
const (
	// Version is the version in Hello.
	Version = 1
	// VersionFence is the first version in Challenge whose sender, the accepting node,
	// supports Fence. Dialing nodes that do not support Fence ignore the version in
	// Challenge.
	VersionFence = 2
	// VersionWithdraw is the first version in Challenge whose sender also supports Withdraw.
	VersionWithdraw = 3
	// VersionRequirements is the first version in Challenge whose sender also supports
	// Requirements. It may send Headroom on a connection on which it has received
	// Requirements.
	VersionRequirements = 4
	// VersionLargeHeaders is the first version in Challenge whose sender accepts more than
	// MaxLegacyFields header fields, and Supports from the dialing node.
	VersionLargeHeaders = 5
	// VersionSupported is the version that this node sends in Challenge.
	VersionSupported = VersionLargeHeaders
)

// Kind identifies the type of a message.
type Kind uint8

// The kinds of messages. The numbers are part of the protocol.
const (
	KindHello     Kind = 1
	KindChallenge Kind = 2
	KindProof     Kind = 3
	KindSupports  Kind = 4
	KindRequest   Kind = 10
	KindData      Kind = 11
	KindCredit    Kind = 12
	KindCancel    Kind = 13
	KindResponse  Kind = 14
	KindRefusal   Kind = 15
	KindReset     Kind = 16
	KindWithdraw  Kind = 17
	KindPing      Kind = 20
	KindPong      Kind = 21
	KindAsk       Kind = 30
	KindReply     Kind = 31
	KindNotice    Kind = 40
	KindSlowness  Kind = 41
	KindHeadroom  Kind = 42
	KindFence     Kind = 50
	KindFenced    Kind = 51
)

// Message is one of the message types of this package.
type Message interface {
	Kind() Kind
}

// Hello is the first message of a connection, sent by the dialing node.
type Hello struct {
	Version int
	// Host and Incarnation identify the dialing node.
	Host        string
	Incarnation uint64
	Nonce       []byte
}

// Challenge answers Hello and proves that the accepting node has the shared key.
type Challenge struct {
	// Version is the highest version that the accepting node supports.
	Version     int
	Host        string
	Incarnation uint64
	Nonce       []byte
	MAC         []byte
}

// Proof proves that the dialing node has the shared key.
type Proof struct {
	MAC []byte
}

// Supports says which version the dialing node supports. It is the first message after the
// handshake, and is sent only to nodes whose Challenge has VersionLargeHeaders or a later
// version. A dialing node that does not send it supports VersionRequirements at most.
type Supports struct {
	Version int
}

// Special values of a body's length: not known in advance, and no body.
const (
	LengthUnknown int64 = -1
	LengthNone    int64 = 0
)

// Request asks a gate to run a request at its backend server.
type Request struct {
	ID uint64
	// SentMicros is the sender's monotonic time since the connection was opened.
	SentMicros int64
	// BudgetMicros is the time that remained until the deadline when the message was sent.
	BudgetMicros int64
	Service      string
	Server       string
	Method       string
	URI          string
	Header       Fields
	// Length is the body's size in bytes, LengthUnknown or LengthNone.
	Length     int64
	Repeatable bool
	Priority   uint8
	// Body is the first part of the body; Last is set if it is the whole body.
	Body []byte
	Last bool
	// Patient is set if no other server can take the request, so that queueing it for a
	// long time is better than refusing it.
	Patient bool
	// CallerRequestID is the request ID that the caller has chosen, blank if there is none.
	// The server's response must contain it.
	CallerRequestID string
	// Caller is the service on whose host the request originated, blank if not known.
	Caller string
	// Tenant is the tenant whose request it is, blank if no key identifies it.
	Tenant string
	// WaitMicros is the maximum time that the request may be queued at the gate; 0 leaves
	// it to the gate.
	WaitMicros int64
	// Requirements is nil if the entry or the gate does not support it. It is sent as part
	// of Packed.
	Requirements *Requirements `msgpack:"-"`
	// Packed replaces Header and some of the fields above in an encoded message; see
	// Encoder.
	Packed []byte
	// Slowness is the entry's estimate of the server's slowness, in percent of the usual
	// time of its work. A gate whose server is clearly slower than that refuses the
	// request, so that the entry can choose another server. 0 disables the check.
	Slowness int
	// MayHaveReachedServer is set if the request may have reached a server before. The gate
	// should then not send it on a kept-alive connection.
	MayHaveReachedServer bool
	// Call is set if the entry believes that the request is a call of the server on its own
	// host. A gate that knows where the route's requests come from ignores it. It is sent as
	// part of Packed, and only together with Requirements.
	Call bool `msgpack:"-"`
}

// Data carries a part of a body, in either direction.
type Data struct {
	ID    uint64
	Bytes []byte
	Last  bool
}

// Credit allows the peer to send that many more bytes of a body.
type Credit struct {
	ID    uint64
	Bytes int64
}

// Cancel says that the entry no longer needs the response. The gate still replies, so that
// the entry learns whether the request was run.
type Cancel struct {
	ID uint64
}

// Withdraw says that the request need not be started any more. The gate refuses the request
// if it has not sent it to the server yet, and otherwise continues with it.
type Withdraw struct {
	ID uint64
}

// Load is the state of a gate at the time of sending. Every reply of a gate contains it, so
// that entries need not estimate it.
type Load struct {
	// Seq increases with each report of a gate, so that a report that arrives after a newer
	// one is recognized.
	Seq uint64
	// InFlight is the number of requests at the backend server.
	InFlight int
	// Queued is the number of requests queued at the gate.
	Queued int
	// Limit is the maximum number of concurrent requests that the gate sends to the server.
	Limit int
	// ServiceMicros is the gate's moving average of the server's processing time.
	ServiceMicros int64
	// Draining is set if the gate accepts no new requests.
	Draining bool
	// StalledMicros is the time for which the server has not answered anything although it
	// has requests, or 0 if that is not longer than usual.
	StalledMicros int64
	// Slowness is the current duration of work at the server, in percent of usual; 0 if the
	// server does not report it.
	Slowness int
}

// Notice reports a significant change of a gate's state to an entry, without a request for
// it.
type Notice struct {
	Service string
	Server  string
	Load    Load
}

// Slowness reports to an entry, without a request for it, how slow the backend server is
// that announced itself to the sender. It is sent on each change and therefore small.
type Slowness struct {
	// Percent is the current duration of work at the server, in percent of usual. It is 0
	// if the gate no longer knows it, because its server is not cold any more and has not
	// reported its slowness.
	Percent int
}

// Response is the beginning of the response to a request that was run.
type Response struct {
	ID     uint64
	Status int
	Header Fields
	Length int64
	// NoRetry is set if the failure was reported by a service that the server called, where
	// the call has been retried already.
	NoRetry bool
	Load    Load
	Body    []byte
	Last    bool
	// Packed replaces Header in an encoded message; see Encoder.
	Packed []byte
	// Slowness is the duration of work at the server when it started the request, in percent
	// of usual; 0 if that was not known.
	Slowness int
	// Origin is an admit.Origin: where the route's requests come from, as far as the gate
	// knows. It is sent as part of Packed, and only if the request had Requirements.
	Origin uint8 `msgpack:"-"`
}

// Refusal says that a request was not run and will not be run.
type Refusal struct {
	ID     uint64
	Reason Reason
	// RetryAfterMicros is the time after which the sender may retry.
	RetryAfterMicros int64
	Load             Load
}

// ServerExitedMessage is the Message of a Reset that was caused by an exit of the backend
// server's process. Before the entry sends the request again, it asks the gate's node for
// the requests that were running when the server exited.
const ServerExitedMessage = "the backend server has ended"

// Reset ends a request that was sent to the backend server and has no complete response.
// Whether it was run is not known.
type Reset struct {
	ID      uint64
	Message string
	Load    Load
	// Expired is set if the request's deadline has passed.
	Expired bool
	// ConnectionStalled is set if the connection to the server had stalled, but the server
	// had not.
	ConnectionStalled bool
}

// Ping asks for a Pong with the same Seq.
type Ping struct {
	Seq uint64
}

// Pong answers Ping.
type Pong struct {
	Seq uint64
}

// RequestIDs are IDs of requests. They are decoded one by one, because the codec would
// allocate memory for as many as the message claims to have.
type RequestIDs []uint64

// DecodeMsgpack implements msgpack.CustomDecoder.
func (n *RequestIDs) DecodeMsgpack(d *msgpack.Decoder) error {
	count, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	*n = nil
	for range max(count, 0) { // The count is -1 if the IDs were encoded as nil.
		id, err := d.DecodeUint64()
		if err != nil {
			return err
		}
		*n = append(*n, id)
	}
	return nil
}

// Fence says that another connection of the same dialing node has stalled. The accepting
// node accepts no more requests from the stalled connection, so that a request that has not
// arrived yet is never run. It moves the requests in Move to this connection and cancels
// those that are neither in Move nor in Stay.
type Fence struct {
	// Conn is the nonce with which the dialing node opened the stalled connection.
	Conn []byte
	// Move are the requests whose responses are to be sent on this connection.
	Move RequestIDs
	// Stay are the requests with a partly transferred body. They continue on the stalled
	// connection as long as it may recover.
	Stay RequestIDs
}

// Fenced answers a Fence.
type Fenced struct {
	// NotArrived are the requests that had not arrived and will not be run.
	NotArrived RequestIDs
	// Lost are the requests of Move whose responses cannot be sent on this connection.
	// Whether they were run is not known.
	Lost RequestIDs
}

// Topic is the subject of an Ask.
type Topic string

// Ask is a query of one node's control plane to another's. It is answered by one Reply.
type Ask struct {
	ID      uint64
	Topic   Topic
	Payload []byte
}

// Reply answers an Ask. Error is blank on success.
type Reply struct {
	ID      uint64
	Error   string
	Payload []byte
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Challenge) Kind() Kind { return KindChallenge }

// Kind implements Message.
func (*Proof) Kind() Kind { return KindProof }

// Kind implements Message.
func (*Supports) Kind() Kind { return KindSupports }

// Kind implements Message.
func (*Request) Kind() Kind { return KindRequest }

// Kind implements Message.
func (*Data) Kind() Kind { return KindData }

// Kind implements Message.
func (*Credit) Kind() Kind { return KindCredit }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind implements Message.
func (*Withdraw) Kind() Kind { return KindWithdraw }

// Kind implements Message.
func (*Response) Kind() Kind { return KindResponse }

// Kind implements Message.
func (*Refusal) Kind() Kind { return KindRefusal }

// Kind implements Message.
func (*Reset) Kind() Kind { return KindReset }

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (*Pong) Kind() Kind { return KindPong }

// Kind implements Message.
func (*Ask) Kind() Kind { return KindAsk }

// Kind implements Message.
func (*Notice) Kind() Kind { return KindNotice }

// Kind implements Message.
func (*Slowness) Kind() Kind { return KindSlowness }

// Kind implements Message.
func (*Fence) Kind() Kind { return KindFence }

// Kind implements Message.
func (*Fenced) Kind() Kind { return KindFenced }

// Kind implements Message.
func (*Reply) Kind() Kind { return KindReply }

// newMessage returns an empty message of a kind, or nil if the kind is unknown.
func newMessage(kind Kind) Message {
	switch kind {
	case KindHello:
		return new(Hello)
	case KindChallenge:
		return new(Challenge)
	case KindProof:
		return new(Proof)
	case KindSupports:
		return new(Supports)
	case KindRequest:
		return new(Request)
	case KindData:
		return new(Data)
	case KindCredit:
		return new(Credit)
	case KindCancel:
		return new(Cancel)
	case KindWithdraw:
		return new(Withdraw)
	case KindResponse:
		return new(Response)
	case KindRefusal:
		return new(Refusal)
	case KindReset:
		return new(Reset)
	case KindPing:
		return new(Ping)
	case KindPong:
		return new(Pong)
	case KindAsk:
		return new(Ask)
	case KindReply:
		return new(Reply)
	case KindNotice:
		return new(Notice)
	case KindSlowness:
		return new(Slowness)
	case KindHeadroom:
		return new(Headroom)
	case KindFence:
		return new(Fence)
	case KindFenced:
		return new(Fenced)
	}
	return nil
}
