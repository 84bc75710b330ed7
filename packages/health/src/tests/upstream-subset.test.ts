import type { UpstreamRecord } from '@hickoryspoke/membership/upstream-record'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseSubset, subsetSize } from '../upstream-subset.ts'
import { zonePreference } from '../zone-preference.ts'

function upstreams (count: number): UpstreamRecord[] {
  return Array.from({ length: count }, (_, index) => ({ address: `10.0.0.${index}:80`, zone: `zone-${index % 3}`, slots: 6 }) as UpstreamRecord)
}

function usersOf (entries: number, records: readonly UpstreamRecord[], size: number): Map<string, number> {
  const users = new Map<string, number>()
  for (let entry = 0; entry < entries; entry += 1) {
    for (const { address } of chooseSubset(`entry-${entry}`, records, size)) users.set(address, (users.get(address) ?? 0) + 1)
  }
  return users
}

const LIMITS = [
  { entries: 44, upstreams: 20, limit: 400 },
  { entries: 44, upstreams: 8, limit: 350 },
  { entries: 800, upstreams: 33, limit: 350 },
  { entries: 800, upstreams: 120, limit: 400 },
  { entries: 800, upstreams: 20, limit: 350 }
]

for (const row of LIMITS) {
  test(`${row.entries} entries stay within ${row.limit} connections per upstream with ${row.upstreams} upstreams and use them evenly`, () => {
    const size = subsetSize(row.upstreams, row.entries, row.limit)
    const users = [...usersOf(row.entries, upstreams(row.upstreams), size.upstreams).values()]
    assert.is(users.length, row.upstreams)
    assert.ok(Math.max(...users) * size.connectionsEach <= row.limit, `${Math.max(...users) * size.connectionsEach} connections`)
    assert.ok(Math.max(...users) <= 1.35 * row.entries * size.upstreams / row.upstreams, `most users ${Math.max(...users)}`)
  })
}

test('removing an upstream changes one member of the subsets that contain it and no other subset', () => {
  const records = upstreams(120)
  for (let entry = 0; entry < 200; entry += 1) {
    const before = chooseSubset(`entry-${entry}`, records, 20)
    const after = chooseSubset(`entry-${entry}`, records.slice(1), 20)
    const kept = after.filter((record) => before.includes(record)).length
    assert.is(kept, before.includes(records[0] as UpstreamRecord) ? 19 : 20)
  }
})

test('the own zone is preferred only if every zone has about the same share of the slots as of the entries', () => {
  const even = ['zone-0', 'zone-1', 'zone-2']
  assert.is(zonePreference(2, even, upstreams(9)), 2)
  assert.is(zonePreference(2, ['zone-0', 'zone-0', 'zone-0', 'zone-1', 'zone-2'], upstreams(9)), 1)
  assert.is(zonePreference(2, even, upstreams(2)), 1)
})

test.run()
