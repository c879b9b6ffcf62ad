package config

import (
	"strings"
	"testing"
)

const validBox = `[box]
name = box1
region = perth
hall = malaga-hall

[callers]
listen = 127.0.0.1:8080

[operators]
listen = 127.0.0.1:8081
key_sha256 = ` + digestOfX + `

[platform]
url = http://127.0.0.1:9000
`

const digestOfX = "2d711642b726b04401627ca9fbac32f5c8530fb1903cc4db02258717921a4881"

func expectBox(t *testing.T, text string, wants ...string) {
	t.Helper()
	_, err := ParseBox("box.ini", []byte(text))
	expectProblems(t, err, wants)
}

func expectShared(t *testing.T, text string, wants ...string) {
	t.Helper()
	_, err := ParseShared("shared.ini", []byte(text), nil)
	expectProblems(t, err, wants)
}

func expectProblems(t *testing.T, err error, wants []string) {
	t.Helper()
	if len(wants) == 0 && err != nil {
		t.Errorf("expected no problem, got %v", err)
	}
	for _, want := range wants {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("expected %q, got %v", want, err)
		}
	}
}

const validRelay = `[box]
name = box1
region = perth
hall = malaga-hall

[callers]
listen = 127.0.0.1:8080

[readiness]
listen = 127.0.0.1:8082

[store]
address = 127.0.0.1:9000
`

// Guards against a box that does not share slots because its settings file is from before the setting.
func TestSharedSlots(t *testing.T) {
	for text, want := range map[string]bool{"": true, "[plain]": true, "[plain]\nshared_slots =": true, "[plain]\nshared_slots = true": true, "[plain]\nshared_slots = false": false} {
		r, err := ParseRelay("box.ini", []byte(validRelay+text))
		if err != nil || r.SharedSlots != want {
			t.Errorf("%q: expected %t, got %+v, %v", text, want, r, err)
		}
	}
	_, err := ParseRelay("box.ini", []byte(validRelay+"[plain]\nshared_slots = maybe"))
	expectProblems(t, err, []string{"[plain] shared_slots: expected true or false"})
}

// A platform fills the windows into the settings. A box must start with a window of 0, and pass it on as it is.
func TestWindowsOfZero(t *testing.T) {
	r, err := ParseRelay("box.ini", []byte(validRelay+"[engines]\nretry_window_s = 0\n[accounts]\nlimit_window_s = 0"))
	if err != nil || r.RetryWindow != 0 || r.LimitWindow != 0 {
		t.Errorf("expected windows of 0, got %+v, %v", r, err)
	}
}

func TestBox(t *testing.T) {
	expectBox(t, validBox)
	expectBox(t, strings.Replace(validBox, "hall =", "hal =", 1), "box.ini:4: [box] hal: is not a known key", "box.ini:1: [box] hall: is missing; expected the data hall's name")
	expectBox(t, strings.Replace(validBox, "127.0.0.1:8080", "localhost", 1), `box.ini:7: [callers] listen: expected ip:port, found "localhost"`)
	expectBox(t, validBox+"[callers2]\n", "box.ini:15: [callers2] is not a known section")
	expectBox(t, strings.Replace(validBox, digestOfX, "secret", 1), "expected 64 hex digits, found 6 characters")
	expectBox(t, strings.Replace(validBox, "name = box1", "name = box1\nqueue = 0", 1), `box.ini:3: [box] queue: expected a whole number from 1 to 1048576, found "0"`)
	expectBox(t, strings.Replace(validBox, "name = box1", "name = box1\nname = box2", 1), "box.ini:3: [box] name: stands twice, first on line 2")
	expectBox(t, strings.Replace(validBox, "name = box1", "name = box1\ndrain_timeout = 5", 1), "expected a duration from 1s to 24h0m0s such as 250ms")
	expectBox(t, "[box]\n", "[callers] the section is missing", "[platform] the section is missing")
	expectBox(t, "[box\n", "not an INI document")
	expectBox(t, strings.Replace(validBox, "listen = 127.0.0.1:8080", "listen = 127.0.0.1:8080\ntls_cert = a.pem", 1), "expected tls_cert and tls_key together")
}

const validShared = `[pool m]

[endpoint p1]
pool = m
role = prefill
address = 127.0.0.1:9001
region = perth
hall = malaga-hall

[route r]
model = m
policy = p

[policy p]
program = """
def admit(request, pool):
    x = "%d" % request.prompt_tokens  # Equals signs and comments stay in the text.
    return run()
"""

[client c]
key_sha256 = ` + digestOfX + `
allow = r
`

func TestShared(t *testing.T) {
	expectShared(t, validShared)
	expectShared(t, strings.Replace(validShared, "model = m", "model = n", 1), `shared.ini:11: [route r] model: no pool serves "n"`)
	expectShared(t, strings.Replace(validShared, "allow = r", "allow = q", 1), "[client c] allow: no section [route q]")
	expectShared(t, strings.Replace(validShared, "policy = p\n", "policy = q\n", 1), "no section [policy q]")
	expectShared(t, strings.Replace(validShared, "role = prefill", "role = service", 1), `expected prefill or decode for an engine`)
	expectShared(t, strings.Replace(validShared, "pool = m", "pool = m\nprefill_rate = NaN", 1), "expected a number from 1 to")
	expectShared(t, validShared+"[client d]\nkey_sha256 = "+digestOfX+"\n", "is also the key of client c")
	expectShared(t, validShared+"[endpoint p2]\npool = m\nrole = decode\naddress = 127.0.0.1:9001\nregion = r\nhall = h\n", "is also the address of endpoint p1")
	expectShared(t, validShared+"[service s]\nprefix = /v1/x\n", "expected a path that starts with /")
	expectShared(t, "x = 1\n"+validShared, "stands before the first section")
}

func TestProgramTextIsKept(t *testing.T) {
	c, err := ParseShared("shared.ini", []byte(validShared), nil)
	if err != nil {
		t.Fatal(err)
	}
	want := `x = "%d" % request.prompt_tokens  # Equals signs and comments stay in the text.`
	if !strings.Contains(c.Policies[0].Program, want) {
		t.Errorf("expected the program to hold %q, got %q", want, c.Policies[0].Program)
	}
}

func FuzzShared(f *testing.F) {
	f.Add([]byte(validShared))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := ParseShared("f", text, nil)
		if (c == nil) == (err == nil) {
			t.Errorf("expected a configuration or a problem, got %v, %v", c, err)
		}
	})
}

// Guards against weights of clients that are lost or out of range.
func TestClientWeight(t *testing.T) {
	for line, want := range map[string]float64{"": 1, "weight = 3": 3} {
		c, err := ParseShared("shared.ini", []byte(strings.Replace(validShared, "allow = r", "allow = r\n"+line, 1)), nil)
		if err != nil || c.Clients[0].Weight != want {
			t.Errorf("%q: expected %g, got %+v, %v", line, want, c, err)
		}
	}
	expectShared(t, strings.Replace(validShared, "allow = r", "allow = r\nweight = 2000", 1), `[client c] weight: expected a number from 0.01 to 1000, found "2000"`)
}
