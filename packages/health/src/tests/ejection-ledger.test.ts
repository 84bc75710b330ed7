import { EjectionPhase } from '@hickoryspoke/protocol/generated/evidence'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EJECTION_LEASE_MILLISECONDS, EjectionLedger, type AnnouncedCapacity } from '../ejection-ledger.ts'

const AFTER_LEASE_MILLISECONDS = EJECTION_LEASE_MILLISECONDS + 1_000

function capacities (...slots: number[]): AnnouncedCapacity[] {
  return slots.map((count, index) => ({ address: `10.0.0.${index}:80`, incarnation: 1, slots: count }))
}

function propose (ledger: EjectionLedger, announced: readonly AnnouncedCapacity[], index: number, floor: number, now = 0): boolean {
  return ledger.propose({ ...announced[index] as AnnouncedCapacity, reason: 'reset', observers: ['zone-a'] }, announced, floor, now)
}

const FLOORS = [
  { name: 'of 1', slots: [6, 6, 6], floor: 1, granted: [false] },
  { name: 'of 0', slots: [6, 6], floor: 0, granted: [true, true] },
  { name: 'of half of four upstreams', slots: [6, 6, 6, 6], floor: 0.5, granted: [true, true, false] },
  { name: 'counted in slots, not upstreams', slots: [12, 2, 2], floor: 0.5, granted: [false, true, true] },
  { name: 'that is met exactly', slots: [4, 4, 4, 4, 4], floor: 0.6, granted: [true, true, false] }
]

for (const row of FLOORS) {
  test(`ejections respect a floor ${row.name}`, () => {
    const ledger = EjectionLedger.create()
    const announced = capacities(...row.slots)
    assert.equal(row.granted.map((_granted, index) => propose(ledger, announced, index, row.floor)), row.granted)
  })
}

test('released capacity counts as ejected until every lease on it has expired', () => {
  const ledger = EjectionLedger.create()
  const announced = capacities(6, 6)
  assert.ok(propose(ledger, announced, 0, 0.5))
  ledger.issueLeases(0)
  ledger.release('10.0.0.0:80', 'release')
  assert.not(propose(ledger, announced, 1, 0.5, 100))
  assert.ok(propose(ledger, announced, 1, 0.5, AFTER_LEASE_MILLISECONDS))
})

test('the latest ejection is released when announced capacity shrinks', () => {
  const ledger = EjectionLedger.create()
  const announced = capacities(6, 6, 6, 6)
  propose(ledger, announced, 0, 0.5)
  propose(ledger, announced, 1, 0.5)
  assert.equal(ledger.reconcile(announced.slice(0, 3), 0.5, 0), ['10.0.0.1:80'])
})

test('the ejection of an upstream ends when it restarts', () => {
  const ledger = EjectionLedger.create()
  const announced = capacities(6, 6)
  propose(ledger, announced, 0, 0.5)
  ledger.issueLeases(0)
  ledger.reconcile([{ ...announced[0] as AnnouncedCapacity, incarnation: 2 }, announced[1] as AnnouncedCapacity], 0.5, 10)
  assert.equal(ledger.issueLeases(10).map((ejection) => ejection.phase), [EjectionPhase.EJECTION_PHASE_RELEASED])
})

test.run()
