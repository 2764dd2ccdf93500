package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/coder/websocket"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// The handshake is a mutual challenge and response over the shared secret:
//
//	dialer   -> hello: identity, nonce, last session with the acceptor
//	acceptor -> greeting: identity, nonce, received position, proof
//	dialer   -> finish: received position, proof
//
// A proof is the HMAC-SHA256, keyed with the secret, of the role's label and all
// preceding fields. The secret is never sent. The labels of the roles differ, so
// that a proof can't be reflected. The handshake authenticates the two ends but not
// the later frames: against a network that alters traffic the links need TLS.

const (
	nonceSize         = 16      // bytes
	maxHandshakeBytes = 4 << 10 // bytes in a handshake frame
	labelDialer       = "currantstall dialer"
	labelAcceptor     = "currantstall acceptor"
	labelSession      = "currantstall session"
	maxAddrBytes      = 256 // bytes
)

// hello is the dialer's first message of a handshake.
type hello struct {
	Version     uint16         `cbor:"1,keyasint"`
	Self        structs.Member `cbor:"2,keyasint"`
	DC          string         `cbor:"3,keyasint"`
	To          string         `cbor:"4,keyasint"` // name of the entry that the dialer wants to reach
	Nonce       []byte         `cbor:"5,keyasint"`
	LastSession session        `cbor:"6,keyasint"` // last session with that entry, zero if there was none
}

// greeting is the acceptor's response to a hello.
type greeting struct {
	Version uint16         `cbor:"1,keyasint"`
	Self    structs.Member `cbor:"2,keyasint"`
	DC      string         `cbor:"3,keyasint"`
	Nonce   []byte         `cbor:"4,keyasint"`
	Resume  streamPosition `cbor:"5,keyasint"` // received position in the dialer's stream
	Proof   []byte         `cbor:"6,keyasint"`
}

// finish is the dialer's last message of a handshake.
type finish struct {
	Resume streamPosition `cbor:"1,keyasint"` // received position in the acceptor's stream
	Proof  []byte         `cbor:"2,keyasint"`
}

// streamPosition is a receiver's position in a sender's stream: Next is the sequence
// number of the first message that the receiver lacks. The zero value means that the
// receiver knows no stream of this incarnation of the sender.
type streamPosition struct {
	Stream uint64 `cbor:"1,keyasint"`
	Next   uint64 `cbor:"2,keyasint"`
}

// session identifies one connection; both ends derive the same value.
type session [sha256.Size]byte

// linkError is the error of a failed handshake or a closed link, with the reason
// under which it is counted.
type linkError struct {
	reason verdict.Reason
	err    error
}

func (e *linkError) Error() string { return string(e.reason) + ": " + e.err.Error() }
func (e *linkError) Unwrap() error { return e.err }

func newLinkError(r verdict.Reason, format string, args ...any) error {
	return &linkError{r, fmt.Errorf(format, args...)}
}

func reasonOf(err error) verdict.Reason {
	var e *linkError
	if errors.As(err, &e) {
		return e.reason
	}
	return verdict.LinkDown
}

// dialerHandshake runs the dialer's side of a handshake up to the check of the
// acceptor's proof. The caller sends the finish.
func (n *Node) dialerHandshake(ctx context.Context, c *websocket.Conn, h hello) (greeting, error) {
	if err := n.writeHandshake(ctx, c, wire.Hello, h); err != nil {
		return greeting{}, err
	}
	var g greeting
	if err := n.readHandshake(ctx, c, wire.HelloAck, &g); err != nil {
		return greeting{}, err
	}
	if err := n.checkPeer(g.Version, g.Self, g.DC, g.Nonce); err != nil {
		return greeting{}, err
	}
	if g.Self.Name != h.To {
		return greeting{}, newLinkError(verdict.BadHello, "the acceptor is %s, expected %s", g.Self.Name, h.To)
	}
	if !hmac.Equal(g.Proof, n.proof(labelAcceptor, h, g, finish{})) {
		return greeting{}, newLinkError(verdict.WrongSecret, "%s has a different peer secret", g.Self.Name)
	}
	return g, nil
}

// readDialerHello reads a hello and checks everything but the proof, which the
// dialer sends later.
func (n *Node) readDialerHello(ctx context.Context, c *websocket.Conn) (hello, error) {
	var h hello
	if err := n.readHandshake(ctx, c, wire.Hello, &h); err != nil {
		return h, err
	}
	if h.To != n.cfg.Self.Name {
		return h, newLinkError(verdict.BadHello, "the hello is for entry %.40q", h.To)
	}
	return h, n.checkPeer(h.Version, h.Self, h.DC, h.Nonce)
}

// acceptorHandshake runs the acceptor's side of a handshake after the hello, up to
// the check of the dialer's proof.
func (n *Node) acceptorHandshake(ctx context.Context, c *websocket.Conn, h hello, g greeting) (finish, error) {
	g.Proof = n.proof(labelAcceptor, h, g, finish{})
	if err := n.writeHandshake(ctx, c, wire.HelloAck, g); err != nil {
		return finish{}, err
	}
	var f finish
	if err := n.readHandshake(ctx, c, wire.HelloAck, &f); err != nil {
		return finish{}, err
	}
	if !hmac.Equal(f.Proof, n.proof(labelDialer, h, g, f)) {
		return finish{}, newLinkError(verdict.WrongSecret, "%s has a different peer secret", h.Self.Name)
	}
	return f, nil
}

// checkPeer checks the protocol version and the fields by which a peer describes
// itself. It refuses a peer with the name of this entry.
func (n *Node) checkPeer(version uint16, m structs.Member, dc string, nonce []byte) error {
	if version != wire.Version {
		return newLinkError(verdict.WrongVersion, "protocol version is %d, expected %d", version, wire.Version)
	}
	if !key.ValidName(m.Name) || !key.ValidName(dc) || len(m.Addr) > maxAddrBytes || len(nonce) != nonceSize {
		return newLinkError(verdict.BadHello, "name, data centre, address or nonce is invalid")
	}
	if m.Name == n.cfg.Self.Name {
		return newLinkError(verdict.BadHello, "the peer has the name of this entry, %s", m.Name)
	}
	return nil
}

// proof returns the MAC over a role's label and the messages of the handshake,
// without the proofs in them.
func (n *Node) proof(label string, h hello, g greeting, f finish) []byte {
	g.Proof, f.Proof = nil, nil
	mac := hmac.New(sha256.New, n.cfg.Secret)
	mac.Write(transcript(label, h, g, f))
	return mac.Sum(nil)
}

func sessionOf(h hello, g greeting) session {
	g.Proof = nil
	return sha256.Sum256(transcript(labelSession, h, g, finish{}))
}

// transcript encodes a label and the messages of a handshake as one CBOR array, so
// that different handshakes have different transcripts.
func transcript(label string, h hello, g greeting, f finish) []byte {
	b, err := wire.Encode([]any{label, h, g, f})
	if err != nil {
		panic(err) // plain structs always encode
	}
	return b
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // never fails, by its documentation
	return b
}

func (n *Node) writeHandshake(ctx context.Context, c *websocket.Conn, t wire.Type, body any) error {
	m, err := wire.NewMessage(t, body)
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	if err := wire.EncodeFrame(&buf, []wire.Message{m}); err != nil {
		return err
	}
	n.counters.countSent([]wire.Message{m})
	return c.Write(ctx, websocket.MessageBinary, buf.Bytes())
}

func (n *Node) readHandshake(ctx context.Context, c *websocket.Conn, want wire.Type, body any) error {
	c.SetReadLimit(maxHandshakeBytes)
	_, b, err := c.Read(ctx)
	if err != nil {
		return fmt.Errorf("read %s message: %w", want, err)
	}
	return n.decodeHandshake(b, want, body)
}

func (n *Node) decodeHandshake(b []byte, want wire.Type, body any) error {
	ms, err := wire.DecodeFrame(b)
	if err != nil {
		return newLinkError(verdict.BadHello, "%w", err)
	}
	n.counters.countReceived(ms)
	if len(ms) != 1 || ms[0].Type != want {
		return newLinkError(verdict.BadHello, "frame does not consist of one %s message", want)
	}
	if err := wire.Decode(ms[0].Body, body); err != nil {
		return newLinkError(verdict.BadHello, "%w", err)
	}
	return nil
}
