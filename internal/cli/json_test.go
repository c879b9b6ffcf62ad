package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"reflect"
	"testing"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/config"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
)

// fixedConfig is a box that has one accepted configuration, of version 3.
type fixedConfig struct {
	stoatrampv1connect.UnimplementedOperatorHandler
	text string
}

func (f fixedConfig) GetConfig(context.Context, *connect.Request[v1.GetConfigRequest]) (*connect.Response[v1.GetConfigResponse], error) {
	return connect.NewResponse(&v1.GetConfigResponse{Version: 3, Text: f.text}), nil
}

// With --json, the commands that read the configuration must print JSON and nothing else, also where a list is empty.
func TestReadingCommandsPrintJSON(t *testing.T) {
	digest := config.KeyDigest("k")
	rules := "[policy late]\nprogram = \"\"\"\ndef admit(request, pool):\n    return run()\n\"\"\"\n" +
		"[rule logs]\npolicy = late\nkind = stream\npriority = 1\n[rule rest]\npolicy = late\n[operator ana]\nkey_sha256 = " + digest + "\n"
	file := writeFile(t, "new.ini", rules+"[rule more]\npolicy = late\n")
	same := writeFile(t, "same.ini", rules)
	for _, tt := range []struct {
		name, text string
		args       []string
		want       string
	}{
		{"rules", rules, []string{"policy", "get"}, `{"version":"3","rules":[{"name":"logs","policy":"late","kind":"stream","service":"","priority":1},{"name":"rest","policy":"late","kind":"","service":"","priority":null}]}`},
		{"no rules", "", []string{"policy", "get"}, `{"version":"3","rules":[]}`},
		{"policy", rules, []string{"policy", "get", "late"}, `{"version":"3","name":"late","program":"def admit(request, pool):\n    return run()","cases":""}`},
		{"operators", rules, []string{"key", "list"}, `{"version":"3","operators":[{"name":"ana","key_sha256_prefix":"` + digest[:12] + `"}]}`},
		{"no operators", "", []string{"key", "list"}, `{"version":"3","operators":[]}`},
		{"diff", rules, []string{"config", "diff", file}, `{"version":"3","differs":true,"diff":"--- version 3\n+++ ` + file + `\n@@ -12,3 +12,5 @@\n [operator ana]\n key_sha256 = ` + digest + `\n+[rule more]\n+policy = late\n \n"}`},
		{"no diff", rules, []string{"config", "diff", same}, `{"version":"3","differs":false,"diff":""}`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, h := stoatrampv1connect.NewOperatorHandler(fixedConfig{text: tt.text})
			srv := httptest.NewServer(h)
			defer srv.Close()
			var out, errOut bytes.Buffer
			if code := Main(append([]string{"--box", srv.URL, "--json"}, tt.args...), &out, &errOut); code != exitOK {
				t.Fatalf("expected exit 0, got %d: %s", code, errOut.String())
			}
			var got, want any
			if err := json.Unmarshal([]byte(tt.want), &want); err != nil {
				t.Fatal(err)
			}
			if err := json.Unmarshal(out.Bytes(), &got); err != nil {
				t.Fatalf("expected JSON, got %v in\n%s", err, out.String())
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("expected\n%s\ngot\n%s", tt.want, out.String())
			}
		})
	}
}
