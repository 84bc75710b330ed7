import { defaultPoolPolicy } from '@hickoryspoke/configuration/pool-policy'
import { AnnouncementRegistry } from '@hickoryspoke/membership/announcement-registry'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AttemptKind } from '../attempt-outcome.ts'
import { PoolBalancer } from '../pool-balancer.ts'
import { UpstreamHealth } from '../upstream-health.ts'

const SEED = 44
const POOL = 'ledger'
const PICKS = 4_000

interface Setting {
  readonly clock: FakeClock
  readonly balancer: PoolBalancer
}

/** Creates the balancer of one entry with upstreams that announced the given loads. */
function settingOf (loads: readonly number[]): Setting {
  const clock = FakeClock.create()
  const random = SeededRandom.create(SEED)
  const shared = { clock, random, zone: 'zone-a', network: { self: 'entry-0', send: () => undefined } }
  const registry = AnnouncementRegistry.create(shared)
  const epochLease = { epoch: () => 1, validUntilMilliseconds: () => Infinity, exclusiveFromMilliseconds: () => 0 }
  const health = UpstreamHealth.create({ ...shared, registry, epochLease, probe: async () => ({ reachable: true, healthy: true }) })
  health.applyPools([{ name: POOL, healthy_floor: 0.5, policy: { ...defaultPoolPolicy(), slow_start_seconds: 0 } }])
  loads.forEach((load, index) => {
    registry.announce({ pool: POOL, address: addressOf(index), zone: 'zone-a', slots: 6, incarnation: 1, leaseMilliseconds: 60_000, load }).unwrap()
  })
  return { clock, balancer: PoolBalancer.create({ ...shared, health, self: 'entry-0', entryZones: () => ['zone-a'] }) }
}

function addressOf (index: number): string {
  return `10.0.0.${index}:80`
}

/** Share of the picks that each upstream gets if attempts take the given times. */
function sharesOf ({ clock, balancer }: Setting, millisecondsOf: (address: string) => number): Map<string, number> {
  const shares = new Map<string, number>()
  for (let count = 0; count < PICKS; count += 1) {
    const lease = balancer.pick({ pool: POOL, idempotent: true, exclude: [] }).unwrap()
    const milliseconds = millisecondsOf(lease.address)
    shares.set(lease.address, (shares.get(lease.address) ?? 0) + 1 / PICKS)
    clock.schedule(milliseconds, () => lease.finish({ kind: AttemptKind.Answered, milliseconds }))
    clock.advance(5)
  }
  return shares
}

test('equal upstreams get equal shares', () => {
  for (const share of sharesOf(settingOf([0, 0, 0, 0]), () => 20).values()) assert.ok(Math.abs(share - 0.25) < 0.05, `${share}`)
})

test('a load report stuck at zero does not attract traffic to a slow upstream', () => {
  const shares = sharesOf(settingOf([0, 0.5, 0.5, 0.5]), (address) => address === addressOf(0) ? 200 : 20)
  assert.ok((shares.get(addressOf(0)) ?? 0) < 0.15, `${shares.get(addressOf(0))}`)
})

test('an upstream that reports a high load gets less traffic', () => {
  const shares = sharesOf(settingOf([1.5, 0, 0, 0]), () => 20)
  assert.ok((shares.get(addressOf(0)) ?? 0) < 0.15, `${shares.get(addressOf(0))}`)
})

test('an excluded upstream is used only if no other is available', () => {
  const { balancer } = settingOf([0, 0])
  for (let count = 0; count < 20; count += 1) {
    assert.is(balancer.pick({ pool: POOL, idempotent: true, exclude: [addressOf(0)] }).unwrap().address, addressOf(1))
  }
  assert.ok(balancer.pick({ pool: POOL, idempotent: true, exclude: [addressOf(0), addressOf(1)] }).isOk())
})

test('a request that is not idempotent avoids an upstream that has just failed at this entry', () => {
  const { balancer } = settingOf([0, 0])
  const [failed] = [balancer.pick({ pool: POOL, idempotent: true, exclude: [] }).unwrap()]
  failed.finish({ kind: AttemptKind.Reset, milliseconds: 1 })
  for (let count = 0; count < 50; count += 1) assert.is.not(balancer.pick({ pool: POOL, idempotent: false, exclude: [] }).unwrap().address, failed.address)
})

test('a pick from a pool without upstreams fails, and finishing an attempt twice counts once', () => {
  const { balancer } = settingOf([0])
  assert.is(balancer.pick({ pool: 'none', idempotent: true, exclude: [] }).unwrapErr().code, 'no_healthy_upstream')
  const lease = balancer.pick({ pool: POOL, idempotent: true, exclude: [] }).unwrap()
  assert.is(balancer.inFlight(), 1)
  lease.finish({ kind: AttemptKind.Answered, milliseconds: 1 })
  lease.finish({ kind: AttemptKind.Answered, milliseconds: 1 })
  assert.is(balancer.inFlight(), 0)
})

test.run()
