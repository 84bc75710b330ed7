import { readFileSync } from 'node:fs'
import { parseDesiredState } from '@hickoryspoke/configuration/desired-state'
import { parse } from 'smol-toml'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const ROWS = [
  { name: 'quitumbe', zones: 3, slots: 6, counts: { 'record-consultation': 8, 'withdrawal-ledger': 20, 'dispatch-custody': 6 }, once: ['/withdrawals', '/drawers', '/dispatches'] },
  { name: 'yushan', zones: 4, slots: 4, counts: { 'load-sheets': 8, 'mule-bookings': 20, 'charges-and-handovers': 8 }, once: ['/bookings', '/charges', '/handovers'] }
]

interface Instance {
  readonly pool: string
  readonly address: string
  readonly zone: string
  readonly slots: number
}

for (const row of ROWS) {
  test(`the example files of ${row.name} are valid and consistent`, () => {
    const state = parseDesiredState(readFileSync(`examples/${row.name}/fleet.toml`, 'utf8')).unwrap()
    const { instances } = parse(readFileSync(`examples/${row.name}/instances.toml`, 'utf8')) as unknown as { instances: Instance[] }
    assert.is(state.customers.length, 8)
    assert.equal(state.keys.map((key) => key.customer), state.customers.map((customer) => customer.name))
    const counts = Object.fromEntries(state.pools.map((pool) => [pool.name, instances.filter((instance) => instance.pool === pool.name).length]))
    assert.equal(counts, row.counts)
    assert.is(new Set(instances.map((instance) => instance.address)).size, instances.length)
    assert.is(new Set(instances.map((instance) => instance.zone)).size, row.zones)
    assert.ok(instances.every((instance) => instance.slots === row.slots))
    const once = state.routes.filter((route) => route.idempotent === false).map((route) => route.path)
    assert.equal(once, row.once)
  })
}

test.run()
