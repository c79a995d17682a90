package messenger

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

// certificateValidity is long because access to the mesh is limited by the cluster key and not by the certificate.
const certificateValidity = 20 * 365 * 24 * time.Hour

// identity is the key pair that every process derives from the shared cluster key. A peer that proves possession
// of the private key in the TLS handshake knows the cluster key.
type identity struct {
	cert tls.Certificate
	pub  ed25519.PublicKey
}

func newIdentity(key string) (*identity, error) {
	if len(key) < sycamorevane.MinClusterKeyBytes {
		return nil, errors.Errorf("cluster key has %d bytes; at least %d are needed", len(key), sycamorevane.MinClusterKeyBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(key), nil, "sycamorevane mesh identity", ed25519.SeedSize)
	if err != nil {
		return nil, errors.Trace(err)
	}
	priv := ed25519.NewKeyFromSeed(seed)
	pub, _ := priv.Public().(ed25519.PublicKey)
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "sycamorevane mesh"},
		// Starts a day early, since the clocks of hosts may differ.
		NotBefore: now.Add(-24 * time.Hour),
		NotAfter:  now.Add(certificateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, pub, priv)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &identity{cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: priv}, pub: pub}, nil
}

func (id *identity) config() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// verify checks the public key of the peer; names and issuers of certificates are not used on the mesh.
		InsecureSkipVerify:     true,
		VerifyConnection:       id.verify,
		SessionTicketsDisabled: true,
	}
}

func (id *identity) verify(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	pub, ok := cs.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || subtle.ConstantTimeCompare(pub, id.pub) != 1 {
		return errors.New("peer does not hold the cluster key")
	}
	return nil
}
