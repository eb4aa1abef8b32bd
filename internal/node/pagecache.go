package node

import (
	"bytes"
	"sync"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// maxCachedPages limits the cached packed pages. Peers that request pages of the same position hold few
// different earlier ones.
const maxCachedPages = 32

// pageCache holds the packed pages that are cached, those of the current position, and those that are
// being sent. In a large fleet many VMs request the same page at the same time, and packing one takes
// a slow VM about ten milliseconds. A peer that reads slowly keeps its page for as long, so the bytes
// of all pages are bounded together.
type pageCache struct {
	// maxBytes bounds the bytes of all pages; 0 is no limit.
	maxBytes int

	mu    sync.Mutex
	at    catalog.Position
	pages map[pageKey]*packedPage
	used  int
}

// pageKey holds what a packed page depends on besides the position.
type pageKey struct {
	after catalog.Position
	base  uint64
	// foreign is set if the requester's decoder is of another version.
	foreign bool
}

// packedPage is a page that is used by the cache, by responses, or both.
type packedPage struct {
	body  []byte
	users int
}

// get returns a cached page, which the caller releases, or nil.
func (c *pageCache) get(at catalog.Position, key pageKey) *packedPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := c.pages[key]
	if c.at != at || page == nil {
		return nil
	}
	page.users++
	return page
}

// put adds a page and returns it for the caller, who releases it. It returns nil if there is no room
// beside the pages that are being sent.
func (c *pageCache) put(at catalog.Position, key pageKey, body []byte) *packedPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.Before(at) || len(c.pages) >= maxCachedPages {
		c.drop()
	}
	page := c.add(body)
	if page == nil {
		return nil
	}
	if !at.Before(c.at) && c.pages[key] == nil {
		if c.pages == nil {
			c.pages = map[pageKey]*packedPage{}
		}
		c.at = at
		c.pages[key] = page
		page.users++
	}
	return page
}

// putUncached returns a page that is sent once, which the caller releases, or nil if there is no room.
func (c *pageCache) putUncached(body []byte) *packedPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.add(body)
}

// add counts a page, if need be in place of the cached ones. The caller holds mu.
func (c *pageCache) add(body []byte) *packedPage {
	if !c.fits(body) {
		c.drop()
	}
	if c.used > 0 && !c.fits(body) {
		return nil
	}
	c.used += len(body)
	return &packedPage{body: body, users: 1}
}

func (c *pageCache) fits(body []byte) bool { return c.maxBytes == 0 || c.used+len(body) <= c.maxBytes }

// drop removes all pages from the cache. The caller holds mu.
func (c *pageCache) drop() {
	for _, page := range c.pages {
		c.leave(page)
	}
	c.pages = nil
}

// release ends a use of a page.
func (c *pageCache) release(page *packedPage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave(page)
}

// leave ends a use of a page. The caller holds mu.
func (c *pageCache) leave(page *packedPage) {
	page.users--
	if page.users == 0 {
		c.used -= len(page.body)
	}
}

// reset removes all pages from the cache. It is called when the catalog that they were made from is
// discarded.
func (c *pageCache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
	c.at = catalog.Position{}
}

// bytes returns the bytes of all pages.
func (c *pageCache) bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// pageStream is the body of a response with a page. Closing it releases the page.
type pageStream struct {
	bytes.Reader
	close func()
}

// newStream returns the body of a response with a page.
func (c *pageCache) newStream(page *packedPage) *pageStream {
	s := &pageStream{close: sync.OnceFunc(func() { c.release(page) })}
	s.Reset(page.body)
	return s
}

// Close implements io.Closer.
func (s *pageStream) Close() error {
	s.close()
	return nil
}
