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
//	dialer   -> hello: who I am, a nonce, the session I lost last
//	acceptor -> greeting: who I am, a nonce, proof
//	dialer   -> finish: proof
//
// A proof is the HMAC-SHA256 of a role's label and every field before it under
// the secret, which is never sent. The roles' labels differ, so that a proof
// can't be reflected. It authenticates the ends, not the later frames: against
// a network that alters traffic the links need TLS.

const (
	nonceSize         = 16      // bytes
	maxHandshakeBytes = 4 << 10 // bytes of a handshake frame
	labelDialer       = "currantstall dialer"
	labelAcceptor     = "currantstall acceptor"
	labelSession      = "currantstall session"
	maxAddrBytes      = 256 // bytes
)

// hello opens a handshake.
type hello struct {
	Version     uint16         `cbor:"1,keyasint"`
	Self        structs.Member `cbor:"2,keyasint"`
	DC          string         `cbor:"3,keyasint"`
	To          string         `cbor:"4,keyasint"` // name of the peer that is meant
	Nonce       []byte         `cbor:"5,keyasint"`
	LastSession session        `cbor:"6,keyasint"` // last session with that peer
}

// greeting answers a hello.
type greeting struct {
	Version uint16         `cbor:"1,keyasint"`
	Self    structs.Member `cbor:"2,keyasint"`
	DC      string         `cbor:"3,keyasint"`
	Nonce   []byte         `cbor:"4,keyasint"`
	Resume  streamPosition `cbor:"5,keyasint"` // in the dialer's stream
	Proof   []byte         `cbor:"6,keyasint"`
}

// finish ends a handshake.
type finish struct {
	Resume streamPosition `cbor:"1,keyasint"` // in the acceptor's stream
	Proof  []byte         `cbor:"2,keyasint"`
}

// streamPosition is the first message that a receiver lacks of a sender's stream. The
// zero value says that it knows no stream of this run of the sender.
type streamPosition struct {
	Stream uint64 `cbor:"1,keyasint"`
	Next   uint64 `cbor:"2,keyasint"`
}

// session identifies one connection to both of its ends.
type session [sha256.Size]byte

// linkError is a failed handshake and the reason it is counted under.
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

// dialerHandshake runs the dialer's side up to the check of the peer's proof. The caller
// sends the finish.
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
		return greeting{}, newLinkError(verdict.BadHello, "the peer is %s, not %s", g.Self.Name, h.To)
	}
	if !hmac.Equal(g.Proof, n.proof(labelAcceptor, h, g, finish{})) {
		return greeting{}, newLinkError(verdict.WrongSecret, "%s holds another secret", g.Self.Name)
	}
	return g, nil
}

// readDialerHello reads a hello and checks all that needs no proof.
func (n *Node) readDialerHello(ctx context.Context, c *websocket.Conn) (hello, error) {
	var h hello
	if err := n.readHandshake(ctx, c, wire.Hello, &h); err != nil {
		return h, err
	}
	if h.To != n.cfg.Self.Name {
		return h, newLinkError(verdict.BadHello, "the peer wants %.40q", h.To)
	}
	return h, n.checkPeer(h.Version, h.Self, h.DC, h.Nonce)
}

// acceptorHandshake runs the acceptor's side after a hello, up to the check of the
// dialer's proof.
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
		return finish{}, newLinkError(verdict.WrongSecret, "%s holds another secret", h.Self.Name)
	}
	return f, nil
}

// checkPeer checks what a peer says of itself.
func (n *Node) checkPeer(version uint16, m structs.Member, dc string, nonce []byte) error {
	if version != wire.Version {
		return newLinkError(verdict.WrongVersion, "protocol version %d, want %d", version, wire.Version)
	}
	if !key.ValidName(m.Name) || !key.ValidName(dc) || len(m.Addr) > maxAddrBytes || len(nonce) != nonceSize {
		return newLinkError(verdict.BadHello, "a field is out of bounds")
	}
	if m.Name == n.cfg.Self.Name {
		return newLinkError(verdict.BadHello, "the peer has our name %s", m.Name)
	}
	return nil
}

// proof returns the MAC over a role's label and the exchange so far. Proofs
// within the arguments do not count.
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

// transcript is one CBOR array, which no two different exchanges share.
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
		return fmt.Errorf("read %s: %w", want, err)
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
		return newLinkError(verdict.BadHello, "no single %s message", want)
	}
	if err := wire.Decode(ms[0].Body, body); err != nil {
		return newLinkError(verdict.BadHello, "%w", err)
	}
	return nil
}
