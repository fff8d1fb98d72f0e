package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxVersions is the number of lists kept, the current one included, for KindLag.
const maxVersions = 256

// Listing is the directory's entry for one instance.
type Listing struct {
	Instance   string `json:"instance"`
	Role       string `json:"role"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	Addr       string `json:"addr"`
	Slots      int    `json:"slots"`
	Leaving    bool   `json:"leaving"`
}

// Directory is the list of live and leaving instances. It implements http.Handler;
// its methods may be called concurrently.
type Directory struct {
	faults faults
	mux    *http.ServeMux
	// reboot reboots an instance. It returns false for an unknown one.
	reboot   func(instance string) bool
	mu       sync.Mutex
	versions []version
	// lastWaves holds the last wave for which each instance was rebooted.
	lastWaves  map[string]wave
	rebootTime time.Duration
	// lastPage is the page that was served last.
	lastPage page
}

// wave is a reboot of an instance in a maintenance wave.
type wave struct {
	name      string
	startedAt time.Time
}

type version struct {
	createdAt time.Time
	listings  map[string]Listing
}

type instanceList struct {
	Instances []Listing `json:"instances"`
}

type rebootRequest struct {
	Wave string `json:"wave"`
}

// NewDirectory returns an empty directory that calls reboot to reboot an instance. A
// reboot takes rebootTime.
func NewDirectory(rebootTime time.Duration, reboot func(instance string) bool) *Directory {
	d := &Directory{reboot: reboot, rebootTime: rebootTime, lastWaves: map[string]wave{}, mux: http.NewServeMux()}
	d.versions = []version{{listings: map[string]Listing{}}}
	d.mux.HandleFunc("GET /v1/instances", d.getInstances)
	d.mux.HandleFunc("POST /v1/instances/{instance}/reboot", d.postReboot)
	return d
}

// ServeHTTP implements http.Handler.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.mux.ServeHTTP(w, r) }

// SetFault activates a fault, or clears all faults if its kind is KindNone.
func (d *Directory) SetFault(f Fault) { d.faults.set(f) }

// Put adds or replaces an instance.
func (d *Directory) Put(l Listing) {
	d.update(func(m map[string]Listing) { m[l.Instance] = l })
}

// Remove takes an instance off the list.
func (d *Directory) Remove(instance string) {
	d.update(func(m map[string]Listing) { delete(m, instance) })
}

// update adds a version of the list, edited from the newest one.
func (d *Directory) update(edit func(map[string]Listing)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(d.versions[len(d.versions)-1].listings)
	edit(next)
	d.versions = append(d.versions, version{createdAt: time.Now(), listings: next})
	if extra := len(d.versions) - maxVersions; extra > 0 {
		d.versions = d.versions[extra:]
	}
}

// listAt returns the list that was current lag ago.
func (d *Directory) listAt(lag time.Duration) []Listing {
	return d.versionAt(lag).sorted()
}

// versionAt returns the version that was current lag ago, or the oldest one kept.
func (d *Directory) versionAt(lag time.Duration) version {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := time.Now().Add(-lag)
	chosen := d.versions[0]
	for _, v := range d.versions {
		if !v.createdAt.After(limit) {
			chosen = v
		}
	}
	return chosen
}

func (v version) sorted() []Listing {
	all := make([]Listing, 0, len(v.listings))
	for _, name := range slices.Sorted(maps.Keys(v.listings)) {
		all = append(all, v.listings[name])
	}
	return all
}

func (d *Directory) getInstances(w http.ResponseWriter, r *http.Request) {
	d.faults.beforeEffect(r.Context())
	var lag time.Duration
	if f, ok := d.faults.consume(KindLag); ok {
		lag = f.Delay()
	}
	page := d.pageOf(d.versionAt(lag))
	if _, ok := d.faults.consume(KindEmpty); ok {
		page = newPage(nil)
	}
	w.Header().Set("ETag", page.etag)
	if r.Header.Get("If-None-Match") == page.etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the client has closed the connection.
	_, _ = w.Write(page.data)
}

// page is an encoded list with its entity tag.
type page struct {
	createdAt time.Time
	data      []byte
	etag      string
}

func newPage(all []Listing) page {
	if all == nil {
		all = []Listing{}
	}
	// Encoding a list of plain fields can't fail.
	data, _ := json.Marshal(instanceList{Instances: all})
	return page{data: data, etag: fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))}
}

// pageOf returns the page of a version. It caches the last one.
func (d *Directory) pageOf(v version) page {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastPage.data == nil || !d.lastPage.createdAt.Equal(v.createdAt) {
		d.lastPage = newPage(v.sorted())
		d.lastPage.createdAt = v.createdAt
	}
	return d.lastPage
}

func (d *Directory) postReboot(w http.ResponseWriter, r *http.Request) {
	d.faults.beforeEffect(r.Context())
	var req rebootRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&req); err != nil || req.Wave == "" {
		http.Error(w, "the body is malformed or has no wave", http.StatusBadRequest)
		return
	}
	instance := r.PathValue("instance")
	if d.beginWave(instance, req.Wave) && !d.reboot(instance) {
		http.Error(w, "no such instance", http.StatusNotFound)
		return
	}
	if d.rebootDone(instance) {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// rebootDone reports whether the instance's last reboot is over.
func (d *Directory) rebootDone(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.lastWaves[instance].startedAt) >= d.rebootTime
}

// beginWave records the wave and reports whether it is a new one for the instance,
// so that a repeated request doesn't reboot it again.
func (d *Directory) beginWave(instance, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastWaves[instance].name == name {
		return false
	}
	d.lastWaves[instance] = wave{name: name, startedAt: time.Now()}
	return true
}
