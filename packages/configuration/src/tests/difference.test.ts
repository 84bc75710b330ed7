import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { desiredStateSchema, type DesiredState } from '../desired-state.ts'
import { differenceBetween, summarizeDifference, withdrawsAccess } from '../difference.ts'
import { IdentifiedState } from '../identified-state.ts'
import { RecentStates } from '../recent-states.ts'
import { applyDifference, decodeDifference, decodeState, encodeDifference, encodeState } from '../state-codec.ts'

const SEED = 4

/** Small states over few names, so that two random states overlap. */
const states = fc.record({
  number: fc.integer({ min: 1, max: 9 }),
  customers: fc.uniqueArray(fc.record({ name: fc.constantFrom('a', 'b', 'c', 'd'), rate: fc.integer({ min: 1, max: 3 }) }), { selector: ({ name }) => name }),
  keys: fc.uniqueArray(fc.record({ digit: fc.constantFrom('1', '2', '3'), customer: fc.constantFrom('a', 'b') }), { selector: ({ digit }) => digit }),
  routes: fc.uniqueArray(fc.record({ path: fc.constantFrom('/x', '/y'), open: fc.boolean() }), { selector: ({ path }) => path })
}).map(({ number, customers, keys, routes }): DesiredState => desiredStateSchema.parse({
  number,
  customers: customers.map(({ name, rate }) => ({ name, rate, burst: 1 })),
  keys: keys.map(({ digit, customer }) => ({ customer, digest: `sha256:${digit.repeat(64)}` })),
  pools: [{ name: 'pool' }],
  routes: routes.map(({ path, open }) => ({ path, open, pool: 'pool' }))
}))

test('an encoded and decoded difference turns any state into any other', () => {
  fc.assert(fc.property(states, states, (left, right) => {
    const [before, after] = [IdentifiedState.create(left), IdentifiedState.create(right)]
    const sent = decodeDifference(encodeDifference(differenceBetween(before, after))).unwrap()
    const reached = applyDifference(before, sent, after.identity).unwrap()
    assert.equal(reached.toDesiredState(), after.toDesiredState())
  }), { seed: SEED })
})

test('the identity does not depend on the order of items, and changes with the content', () => {
  fc.assert(fc.property(states, states, (left, right) => {
    const reordered = { ...left, customers: left.customers.toReversed(), keys: left.keys.toReversed(), routes: left.routes.toReversed() }
    const state = IdentifiedState.create(left)
    assert.equal(IdentifiedState.create(reordered).identity, state.identity)
    const isSameContent = JSON.stringify(IdentifiedState.create(right).toDesiredState()) === JSON.stringify(state.toDesiredState())
    assert.is(IdentifiedState.create(right).identity.digest === state.identity.digest, isSameContent)
  }), { seed: SEED })
})

test('a state created in batches has the same identity as one created at once', async () => {
  const customers = Array.from({ length: 5_000 }, (_, index) => ({ name: `customer-${index}`, rate: 1, burst: 1 }))
  const state = desiredStateSchema.parse({ number: 1, customers })
  assert.equal((await IdentifiedState.createInBatches(state)).identity, IdentifiedState.create(state).identity)
})

test('altered or truncated bytes are refused', () => {
  const state = IdentifiedState.create(desiredStateSchema.parse({ number: 1, customers: [{ name: 'a', rate: 1, burst: 1 }] }))
  const changed = Buffer.from(encodeState(state).toString().replace('"rate":1', '"rate":2'))
  assert.ok(decodeState(encodeState(state), state.identity).isOk())
  assert.ok(decodeState(changed, state.identity).isErr())
  assert.ok(decodeState(Buffer.from('{'), state.identity).isErr())
})

const BASE = { number: 1, customers: [{ name: 'a', rate: 1, burst: 1 }, { name: 'b', rate: 1, burst: 1 }], pools: [{ name: 'pool' }] }
const KEY = { customer: 'a', digest: `sha256:${'1'.repeat(64)}` }
const OPEN = { path: '/x', pool: 'pool', open: true }
const CHANGES = [
  { title: 'a key removed', before: { keys: [KEY] }, after: {}, withdraws: true },
  { title: 'a key given to another customer', before: { keys: [KEY] }, after: { keys: [{ ...KEY, customer: 'b' }] }, withdraws: true },
  { title: 'a route closed', before: { routes: [OPEN] }, after: { routes: [{ ...OPEN, open: false }] }, withdraws: true },
  { title: 'a route removed', before: { routes: [OPEN] }, after: {}, withdraws: true },
  { title: 'a key added', before: {}, after: { keys: [KEY] }, withdraws: false },
  { title: 'a route opened', before: { routes: [{ ...OPEN, open: false }] }, after: { routes: [OPEN] }, withdraws: false }
]

for (const { title, before, after, withdraws } of CHANGES) {
  test(`${title} ${withdraws ? 'withdraws' : 'does not withdraw'} access`, () => {
    const [left, right] = [before, after].map((part) => IdentifiedState.create(desiredStateSchema.parse({ ...BASE, ...part })))
    if (left !== undefined && right !== undefined) assert.is(withdrawsAccess(left, differenceBetween(left, right)), withdraws)
  })
}

test('a summary lists item names, truncates long lists and shortens key digests', () => {
  const keys = Array.from({ length: 30 }, (_, index) => ({ customer: 'a', digest: `sha256:${index.toString(16).padStart(64, 'f')}` }))
  const before = IdentifiedState.create(desiredStateSchema.parse(BASE))
  const after = IdentifiedState.create(desiredStateSchema.parse({ ...BASE, keys }))
  const { keys: summary } = summarizeDifference(before, differenceBetween(before, after))
  assert.is(summary?.added.length, 20)
  assert.is(summary?.more, 10)
  assert.is(summary?.added[0]?.length, 'sha256:'.length + 12)
})

test('recent states give a difference from a kept state and the full state otherwise', () => {
  const recent = RecentStates.create()
  const first = IdentifiedState.create(desiredStateSchema.parse(BASE))
  recent.add(first)
  recent.add(first.renumber(2))
  assert.is(recent.updateFrom(first.identity)?.differenceFrom?.number, 1)
  assert.is(recent.updateFrom({ number: 1, digest: 'other' })?.differenceFrom, undefined)
  assert.is(recent.updateFrom(undefined)?.identity.number, 2)
})

test.run()
