package standin

import (
	"os"
	"path/filepath"
)

// Office is a small deployment: one proxy, the pop caches of its office, a hub cache, the origin and a coordinator.
type Office struct {
	Record      *Record
	World       *World
	News        *News
	Coordinator *Coordinator
	Caches      []*Server
	Parent      *Server
	Origin      *Server
	Proxy       *Proxy
	Root        string
	Config      map[string]any

	dir string
}

// StartOffice starts an office with a number of pop caches and with the first classes of Classes. change, if it is not
// nil, changes the configuration before the start.
func StartOffice(
	root string, record *Record, caches int, weight float64, classes int,
	bodySize func(class, object string) int, change func(config map[string]any),
) (*Office, error) {
	o := &Office{Record: record, World: NewWorld(record, bodySize), News: NewNews(record), Root: root}
	var entries []map[string]any
	start := func(id, zone, kind string, weight float64) (*Server, error) {
		s, err := o.World.StartServer(id, zone, kind, weight)
		if err == nil {
			entries = append(entries, Endpoint(s, "SERVING", 0))
		}
		return s, err
	}
	for n := range caches {
		s, err := start("s-cache-"+string(rune('1'+n)), OfficeZone, KindCache, weight)
		if err != nil {
			return o, err
		}
		o.Caches = append(o.Caches, s)
	}
	var err error
	if o.Parent, err = start("s-parent", HubZone, KindParent, weight*float64(caches)); err != nil {
		return o, err
	}
	if o.Origin, err = start("s-origin", HubZone, KindOrigin, weight*float64(caches)); err != nil {
		return o, err
	}
	o.News.Add("endpoints", List(1, true, entries...))
	if o.Coordinator, err = StartCoordinator("coordinator", o.News, record); err != nil {
		return o, err
	}
	if o.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return o, err
	}
	o.Config = Config(o.Coordinator.Addr, o.News.Known(), Settings(classes))
	if change != nil {
		change(o.Config)
	}
	o.Proxy, err = StartProxy(root, o.dir, o.Config, record)
	return o, err
}

// Dir returns the office's temporary folder.
func (o *Office) Dir() string { return o.dir }

// Stop ends the proxy and removes the temporary folder.
func (o *Office) Stop() {
	if o.Proxy != nil {
		o.Proxy.Kill()
	}
	if o.dir != "" {
		_ = os.RemoveAll(filepath.Clean(o.dir))
	}
}
