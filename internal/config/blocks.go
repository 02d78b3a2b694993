package config

import (
	"bytes"
	"net/netip"
	"strconv"
	"strings"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// maxRate is the largest rate that a field takes, per second.
const maxRate = 1e9

// csvHeader is the first line of blocks.csv.
const csvHeader = "prefix,region,demand_per_second"

// block is a block of clients and the line that declares it.
type block struct {
	estate.Block
	at place
}

func (c *collector) decodeBlocks(files Files) []block {
	yamlData, hasYAML := files[blocksYAMLFile]
	csvData, hasCSV := files[blocksCSVFile]
	switch {
	case hasYAML && hasCSV:
		c.fault(KindDuplicateKey, place{file: blocksCSVFile}, "keep one of blocks.csv and blocks.yaml", "both files declare blocks")
	case hasYAML:
		return c.decodeBlocksYAML(yamlData)
	case hasCSV:
		return c.decodeBlocksCSV(csvData)
	}
	return nil
}

// decodeBlocksYAML reads a mapping of regions to mappings of prefixes to
// rates.
func (c *collector) decodeBlocksYAML(data []byte) []block {
	v, ok := c.parseYAML(blocksYAMLFile, data)
	if !ok {
		return nil
	}
	var blocks []block
	v.named(func(region string, v value) {
		for _, e := range v.entries() {
			b := block{at: e.keyAt}
			b.Region = region
			var ok bool
			b.Prefix, ok = c.parsePrefix(e.key, e.keyAt)
			e.rate(&b.Demand, true, maxRate)
			if ok {
				blocks = append(blocks, b)
			}
		}
	})
	return blocks
}

// decodeBlocksCSV reads lines of prefix, region and requests per second. No
// field can hold a comma, so that quotes are not needed.
func (c *collector) decodeBlocksCSV(data []byte) []block {
	at := place{file: blocksCSVFile, line: 1}
	blocks := make([]block, 0, bytes.Count(data, []byte("\n")))
	regions := map[string]string{}
	for line := range strings.Lines(string(data)) {
		line = strings.TrimRight(line, "\r\n")
		switch {
		case at.line == 1:
			if line != csvHeader {
				c.fault(KindSyntax, at, "write "+csvHeader+" on the first line", "the header is %q", line)
				return nil
			}
		case line != "" && !strings.HasPrefix(line, "#"):
			if b, ok := c.decodeCSVLine(line, at, regions); ok {
				blocks = append(blocks, b)
			}
		}
		at.line++
	}
	if len(data) == 0 {
		c.fault(KindSyntax, at, "write "+csvHeader+" on the first line", "the file is empty")
	}
	return blocks
}

// decodeCSVLine keeps one copy of each region's name in regions.
func (c *collector) decodeCSVLine(line string, at place, regions map[string]string) (block, bool) {
	prefix, rest, _ := strings.Cut(line, ",")
	region, demand, found := strings.Cut(rest, ",")
	if !found || strings.Contains(demand, ",") {
		c.fault(KindSyntax, at, "write "+csvHeader, "the line has not three fields")
		return block{}, false
	}
	b := block{at: at}
	var ok bool
	if b.Prefix, ok = c.parsePrefix(prefix, at); !ok {
		return block{}, false
	}
	if b.Region, ok = regions[region]; !ok {
		if !c.checkName(region, at) {
			return block{}, false
		}
		b.Region = strings.Clone(region)
		regions[b.Region] = b.Region
	}
	f, err := strconv.ParseFloat(demand, 64)
	if err != nil {
		c.fault(KindWrongUnit, at, "write the demand as a plain number of requests per second", "%q is no number", demand)
		return block{}, false
	}
	if !(f >= 0 && f <= maxRate) {
		c.fault(KindOutOfRange, at, "write a demand of at least 0", "the demand %s is out of range", demand)
		return block{}, false
	}
	b.Demand = f
	return b, true
}

func (c *collector) parsePrefix(s string, at place) (netip.Prefix, bool) {
	p, err := netip.ParsePrefix(s)
	if err != nil || p.Addr().Is4In6() {
		c.fault(KindOutOfRange, at, "write a block as 10.1.0.0/24 or 2001:db8::/48", "%q is no block", s)
		return p, false
	}
	if p != p.Masked() {
		c.fault(KindOutOfRange, at, "write it as "+p.Masked().String(), "the block %s has bits set beyond its length", p)
		return p, false
	}
	return p, true
}
