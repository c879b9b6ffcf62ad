package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The link's bandwidth comes from the settings, or from the platform's environment if these do not give it.
func TestLinkBandwidthOfTheEnvironment(t *testing.T) {
	const settings = "[box]\nname = b\nregion = r\nhall = h\nhalls = h:r\n%s[callers]\nlisten = 127.0.0.1:0\n[readiness]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n"
	for _, tt := range []struct {
		line, environment string
		want              float64
		fails             bool
	}{
		{"", "", 0, false},
		{"", "26", 26, false},
		{"link_mbps = 10\n", "26", 10, false},
		{"link_mbps = 10\n", "", 10, false},
		{"", "fast", 0, true},
		{"", "-1", 0, true},
		{"", "NaN", 0, true},
	} {
		file := filepath.Join(t.TempDir(), "box.ini")
		if err := os.WriteFile(file, []byte(strings.Replace(settings, "%s", tt.line, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := (&relayCmd{File: file, LinkMbps: tt.environment}).load()
		if tt.fails {
			if err == nil || !strings.Contains(err.Error(), "STOATRAMP_LINK_MBPS") {
				t.Errorf("%q: expected an error that names the variable, got %v", tt.environment, err)
			}
			continue
		}
		if err != nil || cfg.LinkMbps != tt.want {
			t.Errorf("%q and %q: expected %g Mbit/s, got %+v, %v", tt.line, tt.environment, tt.want, cfg, err)
		}
	}
}
