package e2e

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/tools/internal/lab"
)

// TestMaintenanceWaveLosesNoRequest has instances drained and rebooted under
// load, one at a time as the service's budget requires.
func TestMaintenanceWaveLosesNoRequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f := newFleet(t, ctx)
	c := startCallers(callerCount, "engraving", secret, f.readyAddrs)
	f.waitForProgress(t, ctx, c)
	before := document()
	after := document()
	after.Maintenance = configuration.Maintenance{
		Interval: configuration.Duration(15 * time.Second),
		Reboot:   configuration.Duration(time.Second),
	}
	_, err := lab.Configure(ctx, f.platform, 1, before, after)
	is.NoErr(err)
	is.NoErr(lab.Until(ctx, "three instances are rebooted", func() bool { return rebootedCount(f) >= 3 }))
	f.waitForProgress(t, ctx, c)
	results := c.finish()
	checkOutcomes(t, f.platform, results)
	for _, o := range results {
		if o.status != http.StatusOK {
			t.Errorf("%s: status %d, %s", o.body, o.status, strings.TrimSpace(o.answer))
		}
	}
}

// rebootedCount counts the instances that were rebooted after their adoption.
func rebootedCount(f *fleet) int {
	st, err := f.daemons[0].Status()
	if err != nil {
		return 0
	}
	earliest := st.Instances[0].MaintainedAt
	for _, i := range st.Instances {
		earliest = min(earliest, i.MaintainedAt)
	}
	n := 0
	for _, i := range st.Instances {
		if i.MaintainedAt > earliest+adoptionSeconds {
			n++
		}
	}
	return n
}

// adoptionSeconds is the time within which all instances are adopted.
const adoptionSeconds = 5
