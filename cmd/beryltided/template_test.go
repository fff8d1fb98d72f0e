package main

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/fleetd"
)

// deploymentFields are all fields from which the template is rendered, with the
// platform's names.
const deploymentFields = `{"node_name": "a", "zone": "z", "ip": "10.0.0.1", "internal_ports.0": 7000, "internal_ports.1": 7001,
"listen.front": "10.0.0.1:1", "listen.ready": "10.0.0.1:2", "platform.address": "10.0.0.2:3", "cloud.address": "10.0.0.2:4", "advice": "10.0.0.2:5",
"platform.parts": 24, "limits.memory_mb": 284, "limits.max_fds": 4100, "limits.cpu_share": 0.4, "cloud.duty_per_s": 64.0, "cloud.rate_per_s": 64.0,
"platform.record_bytes": 262144, "platform.call_bytes": 2097152, "bounds.max_hold_ms": 10000, "bounds.stop_timeout_ms": 200,
"bounds.status_s": 120, "bounds.grace_s": 6, "bounds.move_s": 1.5, "bounds.maintenance_s": 2, "bounds.lease_ms": 3000,
"bounds.cancel_ms": 3000, "bounds.drain_ms": 2000, "bounds.evacuate_ms": 5000}`

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// render fills in the template as the platform does: a field without a value is null
// as JSON, and nothing as text.
func render(template string, fields map[string]json.RawMessage) string {
	return placeholder.ReplaceAllStringFunc(template, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		value, present := fields[m[1]]
		switch {
		case m[2] == "":
			return strings.Trim(string(value), `"`)
		case !present:
			return "null"
		}
		return string(value)
	})
}

// Guards against a daemon that doesn't start because a deployment has no value for a
// field of a part that it doesn't use, and against an error that doesn't name a
// required one.
func TestSettingsTemplateWithFieldsLeftOut(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	required := map[string]string{
		"node_name": "instance", "ip": "peers", "internal_ports.0": "peers", "internal_ports.1": "operations",
		"listen.front": "callers", "listen.ready": "readiness", "platform.address": "store", "platform.parts": "units",
		"limits.memory_mb": "memory_mb", "limits.cpu_share": "processor_share", "cloud.duty_per_s": "duties_per_second",
		"cloud.rate_per_s": "lists_per_second", "bounds.max_hold_ms": "bounds.max_lease_ms", "bounds.grace_s": "bounds.grace_s",
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal([]byte(deploymentFields), &all); err != nil {
		t.Fatal(err)
	}
	t.Run("complete", func(t *testing.T) {
		is := is.New(t)
		_, err := fleetd.ParseSettings("f", []byte(render(string(template), all)))
		is.NoErr(err)
	})
	for left := range all {
		t.Run("without "+left, func(t *testing.T) {
			is := is.New(t)
			fields := map[string]json.RawMessage{}
			for name, value := range all {
				if name != left {
					fields[name] = value
				}
			}
			_, err := fleetd.ParseSettings("f", []byte(render(string(template), fields)))
			if required[left] == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), "f: "+required[left]+": "))
		})
	}
	t.Run("without the machine service", func(t *testing.T) {
		is := is.New(t)
		fields := map[string]json.RawMessage{}
		for name, value := range all {
			if !strings.HasPrefix(name, "cloud.") {
				fields[name] = value
			}
		}
		_, err := fleetd.ParseSettings("f", []byte(render(string(template), fields)))
		is.NoErr(err)
	})
}
