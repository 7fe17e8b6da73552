// SPDX-License-Identifier: MIT

package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ryehaven/ryehaven/wire"
)

const nonceBytes = 32

// Errors for a peer that cannot be trusted or understood.
var (
	// ErrWrongKey means that the peer did not prove that it has the shared key.
	ErrWrongKey = eris.New("peer does not have the shared key")
	// ErrProtocol is wrapped by the errors for frames that the peer must not send, during
	// the handshake or after it.
	ErrProtocol = eris.New("peer violated the protocol")
)

// Identity is what a node reports to its peer about itself when a connection opens.
type Identity struct {
	Host        string
	Incarnation uint64
	// Key is the shared key of all nodes.
	Key []byte
}

// handshakeResult is what a node knows about a connection after the handshake.
type handshakeResult struct {
	// peer is the node that proved the key on the other side.
	peer Identity
	// id identifies the connection on both sides: it is the dialing side's nonce.
	id string
	// version is the protocol version that the accepting side knows.
	version int
	// sentAt is, on the dialing side, just before it sent its proof, and on the accepting
	// side, just before it sent its challenge. So the dialing side's value lies between
	// the accepting side's value and the arrival of the proof.
	sentAt time.Time
}

// Roles in the transcript, so that the proof of one side is not valid for the other.
const (
	roleDialer   = "ryehaven dialer"
	roleAcceptor = "ryehaven acceptor"
)

// transcript is the data that a proof authenticates: the role and what both sides sent.
type transcript struct {
	Role                string
	DialerHost          string
	DialerIncarnation   uint64
	DialerNonce         []byte
	AcceptorHost        string
	AcceptorIncarnation uint64
	AcceptorNonce       []byte
}

func proof(key []byte, role string, h *wire.Hello, c *wire.Challenge) []byte {
	encoded, err := msgpack.Marshal(&transcript{
		Role:                role,
		DialerHost:          h.Host,
		DialerIncarnation:   h.Incarnation,
		DialerNonce:         h.Nonce,
		AcceptorHost:        c.Host,
		AcceptorIncarnation: c.Incarnation,
		AcceptorNonce:       c.Nonce,
	})
	if err != nil {
		panic(err) // The transcript holds only strings, bytes and numbers.
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(encoded)
	return mac.Sum(nil)
}

func nonce() []byte {
	b := make([]byte, nonceBytes)
	rand.Read(b) // Documented to never return an error.
	return b
}

func writeFrame(nc net.Conn, m wire.Message) error {
	frame, err := wire.Append(nil, m)
	if err != nil {
		return err
	}
	_, err = nc.Write(frame)
	return err
}

// expect reads the next frame, which must be of type M.
func expect[M wire.Message](r *wire.Reader) (M, error) {
	var none M
	m, err := r.Next(wire.MaxHandshakeFrame)
	if err != nil {
		return none, err
	}
	got, ok := m.(M)
	if !ok {
		return none, eris.Wrapf(ErrProtocol, "got kind %d", m.Kind())
	}
	return got, nil
}

// dialHandshake runs the dialing side of the handshake and returns what it knows of the
// connection.
func dialHandshake(nc net.Conn, r *wire.Reader, self Identity, limit time.Duration) (handshakeResult, error) {
	if err := nc.SetDeadline(time.Now().Add(limit)); err != nil {
		return handshakeResult{}, err
	}
	hello := &wire.Hello{Version: wire.Version, Host: self.Host, Incarnation: self.Incarnation, Nonce: nonce()}
	if err := writeFrame(nc, hello); err != nil {
		return handshakeResult{}, err
	}
	challenge, err := expect[*wire.Challenge](r)
	if err != nil {
		return handshakeResult{}, err
	}
	if !hmac.Equal(challenge.MAC, proof(self.Key, roleAcceptor, hello, challenge)) {
		return handshakeResult{}, ErrWrongKey
	}
	proved := time.Now()
	if err := writeFrame(nc, &wire.Proof{MAC: proof(self.Key, roleDialer, hello, challenge)}); err != nil {
		return handshakeResult{}, err
	}
	result := handshakeResult{
		peer:    Identity{Host: challenge.Host, Incarnation: challenge.Incarnation},
		id:      string(hello.Nonce),
		version: challenge.Version,
		sentAt:  proved,
	}
	return result, nc.SetDeadline(time.Time{})
}

// acceptHandshake runs the accepting side of the handshake. It reads no frames other than
// Hello and Proof before the handshake succeeds.
func acceptHandshake(nc net.Conn, r *wire.Reader, self Identity, limit time.Duration) (handshakeResult, error) {
	if err := nc.SetDeadline(time.Now().Add(limit)); err != nil {
		return handshakeResult{}, err
	}
	hello, err := expect[*wire.Hello](r)
	if err != nil {
		return handshakeResult{}, err
	}
	if hello.Version != wire.Version || len(hello.Nonce) != nonceBytes {
		return handshakeResult{}, eris.Wrapf(ErrProtocol, "version %d, nonce of %d bytes", hello.Version, len(hello.Nonce))
	}
	challenge := &wire.Challenge{Version: wire.VersionSupported, Host: self.Host, Incarnation: self.Incarnation, Nonce: nonce()}
	challenge.MAC = proof(self.Key, roleAcceptor, hello, challenge)
	challenged := time.Now()
	if err := writeFrame(nc, challenge); err != nil {
		return handshakeResult{}, err
	}
	answer, err := expect[*wire.Proof](r)
	if err != nil {
		return handshakeResult{}, err
	}
	if !hmac.Equal(answer.MAC, proof(self.Key, roleDialer, hello, challenge)) {
		return handshakeResult{}, ErrWrongKey
	}
	result := handshakeResult{
		peer:    Identity{Host: hello.Host, Incarnation: hello.Incarnation},
		id:      string(hello.Nonce),
		version: wire.VersionSupported,
		sentAt:  challenged,
	}
	return result, nc.SetDeadline(time.Time{})
}
