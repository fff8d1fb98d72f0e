package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// call serves one request; aborted reports a dropped connection.
func call(h http.Handler, method, target, body string, header ...string) (rec *httptest.ResponseRecorder, aborted bool) {
	rec = httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			if r != http.ErrAbortHandler {
				panic(r)
			}
			aborted = true
		}
	}()
	req := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	h.ServeHTTP(rec, req)
	return rec, false
}

func readBatch(t *testing.T, l *Log, target string) (int, batch) {
	t.Helper()
	rec, _ := call(l, "GET", target, "")
	var b batch
	if err := json.Unmarshal(rec.Body.Bytes(), &b); err != nil {
		t.Fatal(err)
	}
	return rec.Code, b
}

func TestLogKeepsOrderAndRetention(t *testing.T) {
	is := is.New(t)
	l := NewLog(2)
	for _, data := range []string{"a", "b", "c"} {
		call(l, "POST", "/v1/streams/control", data)
	}
	code, b := readBatch(t, l, "/v1/streams/control?from=1&limit=1")
	is.Equal(code, http.StatusOK)
	is.Equal(b, batch{Oldest: 1, Head: 3, Entries: []entry{{Offset: 1, Data: []byte("b")}}})
	code, b = readBatch(t, l, "/v1/streams/control?from=0")
	is.Equal(code, http.StatusGone) // trimmed
	is.Equal(b, batch{Oldest: 1, Head: 3})
}

func TestLogLongPollWakesAtAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLog(0)
		start := time.Now()
		time.AfterFunc(300*time.Millisecond, func() { call(l, "POST", "/v1/streams/control", "x") })
		_, b := readBatch(t, l, "/v1/streams/control?from=0&wait=1000")
		is.Equal(len(b.Entries), 1)
		is.Equal(time.Since(start), 300*time.Millisecond)
		_, b = readBatch(t, l, "/v1/streams/control?from=1&wait=1000")
		is.Equal(len(b.Entries), 0)
		is.Equal(time.Since(start), 1300*time.Millisecond)
	})
}

func TestLogLosesReplyAfterEffect(t *testing.T) {
	is := is.New(t)
	l := NewLog(0)
	l.SetFault(Fault{Target: TargetLog, Kind: KindReplyLost, Count: 1})
	_, aborted := call(l, "POST", "/v1/streams/control", "x")
	is.True(aborted)
	_, b := readBatch(t, l, "/v1/streams/control?from=0")
	is.Equal(b.Head, int64(1)) // the record is there
}

func TestBackendFaults(t *testing.T) {
	cases := []struct {
		kind    Kind
		aborted bool
		status  int
		id      string
		starts  int
	}{
		{KindNone, false, http.StatusOK, "2", 2},
		{KindDown, true, 0, "", 1},
		{KindReplyLost, true, 0, "", 2},
		{KindTruncated, true, http.StatusOK, "2", 2},
		{KindCrossed, false, http.StatusOK, "1", 2},
		{KindFails, false, http.StatusInternalServerError, "2", 2},
		{KindRefuse, false, http.StatusServiceUnavailable, "2", 1},
	}
	for _, c := range cases {
		t.Run(string(c.kind), func(t *testing.T) {
			is := is.New(t)
			rec := NewRecorder()
			b := NewBackend(Listing{Instance: "w", Slots: 1}, 0, rec)
			call(b, "POST", "/v1/tasks", "first", headerTaskID, "1")
			b.SetFault(Fault{Target: TargetBackend, Kind: c.kind})
			res, aborted := call(b, "POST", "/v1/tasks", "second", headerTaskID, "2")
			is.Equal(aborted, c.aborted)
			if c.status != 0 {
				is.Equal(res.Code, c.status)
			}
			is.Equal(res.Header().Get(headerTaskID), c.id)
			is.Equal(len(rec.Report().Starts), c.starts)
		})
	}
}

func TestBackendSlotsLeasesAndStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBackend(Listing{Instance: "w", Slots: 1}, time.Minute, NewRecorder())
		first := make(chan int)
		go func() {
			res, _ := call(b, "POST", "/v1/tasks", "x", headerTaskID, "1")
			first <- res.Code
		}()
		synctest.Wait()
		res, _ := call(b, "POST", "/v1/tasks", "y", headerTaskID, "2")
		is.Equal(res.Header().Get(headerVerdict), "not-run") // no slot left
		call(b, "DELETE", "/v1/tasks/1", "")
		is.Equal(<-first, http.StatusInternalServerError)
		res, _ = call(b, "POST", "/v1/tasks", "x", headerTaskID, "1")
		is.Equal(res.Header().Get(headerVerdict), "not-run") // a stopped task never starts
		res, _ = call(b, "POST", "/v1/tasks", "z", headerTaskID, "3", headerLease, "50")
		is.Equal(res.Code, http.StatusGatewayTimeout)
	})
}

func TestDirectoryLagsAndRebootsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reboots := 0
		d := NewDirectory(time.Second, func(string) bool { reboots++; return true })
		d.Put(Listing{Instance: "a"})
		d.SetFault(Fault{Target: TargetDirectory, Kind: KindLag, DelayMS: 1000})
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(d.listAt(time.Second)), 0)
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(d.listAt(time.Second)), 1)
		for range 2 {
			res, _ := call(d, "POST", "/v1/instances/a/reboot", `{"wave": "w1"}`)
			is.Equal(res.Code, http.StatusAccepted)
		}
		time.Sleep(time.Second)
		res, _ := call(d, "POST", "/v1/instances/a/reboot", `{"wave": "w1"}`)
		is.Equal(res.Code, http.StatusOK) // the reboot is over
		is.Equal(reboots, 1)
	})
}
