package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// FuzzAnswers guards against answers that a daemon or the log should never give: a
// command must end with a known exit code and say why, without a panic. `report burn`
// crashed on an answer that had a service without hours. In the answers, "@" stands for
// the address of the server that gives them.
func FuzzAnswers(f *testing.F) {
	for _, seed := range []string{
		"", "null", "[]", "{}", `{"Members":[{}]}`, "\x00\xff", strings.Repeat("[", 100_000), strings.Repeat(" ", 1<<20) + "{}",
		`{"Members":[{"ID":"a","Instance":"i","OpsAddr":"@"}],"DataCentres":[{}],"Instances":[{"Pool":"p"}],"Teams":[{}],"Pools":[{}]}`,
		`{"members":[{"id":"a","instance":"i","ops_addr":"@"}],"data_centres":[{}],"instances":[{"pool":"p"}],"teams":[{"limit":-1}],"pools":[{}]}`,
		`{"members":[{"ops_addr":"@"}],"services":{"s":{}},"folded":{"services":{"s":{}}},"pending":[{"service":"s","good":-1}]}`,
		`{"Members":[{"OpsAddr":"@"}],"Services":{"s":{"availabilityObjective":1}},"Pending":[{"Service":"s","Good":9223372036854775807,"Refused":1}]}`,
		`{"members":[{"ops_addr":"@"}],"pools":[{"name":"` + strings.Repeat("x", 4096) + `"}]`,
		`{"queue":"q","configuration":-1,"shadowed":[{}],"attempts":-5}`,
		`{"revision":1,"digest":"","document":null}`,
		`{"revision":1,"digest":"x","document":{"pools":{"p":{}}}}`,
		`{"entries":[{"offset":0,"data":"AAAA"}],"first":0,"next":1}`,
	} {
		f.Add([]byte(seed))
	}
	example, err := filepath.Abs(filepath.Join("..", "..", exampleDir))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(bytes.ReplaceAll(answer, []byte("@"), []byte(r.Host)))
		}))
		defer server.Close()
		daemon := strings.TrimPrefix(server.URL, "http://")
		for _, args := range [][]string{
			{"status", "--daemon", daemon},
			{"report", "burn", "--daemon", daemon},
			{"report", "burn", "--daemon", daemon, "--html", filepath.Join(t.TempDir(), "page.html")},
			{"explain", "route", "--daemon", daemon, "shop.example", "/"},
			{"check", "--against", daemon, example},
			{"--log", server.URL, "status"},
			{"--log", server.URL, "diff", example},
			{"--log", server.URL, "apply", "--timeout", "20ms", "--wait", "20ms", example},
		} {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			var out, errs bytes.Buffer
			code := run(ctx, append([]string{"beryltide"}, args...), &out, &errs)
			cancel()
			switch code {
			case 0:
			case exitFailure, exitInvalid, exitStale, exitUnknown, exitNotActive:
				if errs.Len() == 0 {
					t.Errorf("%v: exit code %d without a reason", args, code)
				}
			default:
				t.Errorf("%v: exit code %d", args, code)
			}
		}
	})
}
