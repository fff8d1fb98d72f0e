package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sampleLog = `  1.0 front-a time=2026-01-01T00:00:01.5Z level=info event=job.first_start unit=1 epoch=64 job=00000000000000aa instance=i-1
  1.0 front-b time=2026-01-01T00:00:01Z level=info event=job.accepted job=00000000000000aa queue=q
noise that names 00000000000000aa
  1.0 front-a time=2026-01-01T00:00:01.2Z level=info event=job.waits unit=1 epoch=64 job=00000000000000aa reason="the team's limit"
  1.0 front-a time=2026-01-01T00:00:01.2Z level=info event=job.waits unit=1 epoch=64 job=00000000000000bb reason=room
  1.0 front-c time=2026-01-01T00:00:02Z level=info event=run.ended unit=1 epoch=128 job=00000000000000aa how=lapsed
  1.0 front-c time=2026-01-01T00:00:03Z level=info event=job.state unit=1 epoch=128 job=00000000000000aa state=completed
`

func TestJobIsExplainedOverAllProcesses(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(sampleLog), "file", "00000000000000aa")
	is.NoErr(err)
	is.Equal(len(lines), 5)
	var out bytes.Buffer
	is.NoErr(Write(&out, lines))
	is.True(strings.HasPrefix(out.String(), "    0.000 s  front-b        job.accepted"))
	is.True(strings.HasSuffix(out.String(), "waited 500ms for its first start; had to wait for the team's limit; completed after 1.5s at work; 1 runs ended without being done; 2 owners in turn\n"))
}

// Guards against a summary that doesn't say why other jobs went first.
func TestJobPutBehindIsExplained(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(`time=2026-01-01T00:00:01Z event=job.accepted job=00000000000000dd
time=2026-01-01T00:00:02Z event=job.put_behind job=00000000000000dd reason=priority
time=2026-01-01T00:00:03Z event=job.put_behind job=00000000000000dd reason=late
`), "f", "00000000000000dd")
	is.NoErr(err)
	is.Equal(Summary(lines), "accepted, no start seen; put behind other jobs: late")
}

func TestRefusedAndUnknownJobs(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(`time=2026-01-01T00:00:01Z event=request.refused job=00000000000000cc reason="unknown key"`), "f", "00000000000000cc")
	is.NoErr(err)
	is.Equal(Summary(lines), "refused: unknown key")
	is.Equal(Summary(nil), "no line is about this job")
}
