package box

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/demo"
)

// writeCertificate makes a self-signed certificate for 127.0.0.1, and returns its files and a pool to verify it.
func writeCertificate(t *testing.T) (certFile, keyFile string, pool *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile = t.TempDir()+"/cert.pem", t.TempDir()+"/key.pem"
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := os.WriteFile(certFile, certPEM, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(keyFile, keyPEM, 0o600); err != nil {
		t.Fatal(err)
	}
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return certFile, keyFile, pool
}

func TestTLS(t *testing.T) {
	t.Parallel()
	site, err := demo.Start(context.Background(), smallSite())
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	cert, key, pool := writeCertificate(t)
	settings := strings.ReplaceAll(site.Settings, "listen =", "tls_cert = "+cert+"\ntls_key = "+key+"\nlisten =")
	cfg, err := config.ParseBox("test", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	b, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- b.Run() }()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	for _, url := range []string{"https://" + b.Callers + "/healthz", "https://" + b.Operators + "/metrics"} {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+demo.OperatorKey)
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", url, resp.StatusCode)
		}
	}
	if resp, err := http.Get("http://" + b.Callers + "/healthz"); err == nil {
		if resp.StatusCode == http.StatusOK {
			t.Error("expected plain HTTP to be refused on a TLS address")
		}
		resp.Body.Close()
	}
	_ = b.Stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
