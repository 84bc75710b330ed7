import { setMaxListeners } from 'node:events'
import { ClaimMessage } from '@hickoryspoke/protocol/generated/claim'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { ClaimGroups } from '@hickoryspoke/request/claim-groups'
import { FleetClaims } from '@hickoryspoke/request/fleet-claims'
import { sleep, SystemClock } from '@hickoryspoke/runtime/clock'
import { SeededRandom, type RandomSource } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'
import { build } from 'hdr-histogram-js'
import { atMost, withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'

const ONE_WAY_MILLISECONDS = 1.5
const JITTER_MILLISECONDS = 0.5
const SYNC_MILLISECONDS = 3
const GROUP_COMMIT_MILLISECONDS = 2
const CLAIMS = 400
const TIMED_CLAIMS = 5000
const MEMORY_RECORDS = [5000, 20_000, 80_000] as const
const FLEET_SIZES = [44, 200, 800] as const
const ADDED_LIMIT_MILLISECONDS = 7.7
const PERMANENT_LEASE: EpochLease = { epoch: () => 1, validUntilMilliseconds: () => Infinity, exclusiveFromMilliseconds: () => 0 }

function membershipOf (size: number): EntryMembership {
  const entries = Array.from({ length: size }, (_, index) => ({ name: `entry-${index}`, zone: `z${index % 3}`, region: 'r', peerAddress: '', witness: true, incarnation: 'first' }))
  return { epoch: 1, establishedEpoch: 1, entries }
}

function joinMembership (claims: FleetClaims, size: number): void {
  claims.applyMembership({ epoch: 0, establishedEpoch: 0, entries: [] })
  claims.applyMembership(membershipOf(size))
}

interface ClaimLatency {
  readonly medianMilliseconds: number
  readonly p99Milliseconds: number
  readonly messagesPerClaim: number
}

/** Makes claims one after another over a simulated network, with the real claim code at every entry. */
async function simulateQuorumClaims (size: number): Promise<ClaimLatency> {
  const clock = FakeClock.create()
  const random = SeededRandom.create(1)
  const network = FakeNetwork.create<ClaimMessage>(clock, random, { delayMilliseconds: () => ONE_WAY_MILLISECONDS, jitterMilliseconds: JITTER_MILLISECONDS })
  const stop = new AbortController()
  setMaxListeners(0, stop.signal)
  const all = membershipOf(size).entries.map(({ name }, index) => {
    const peer = network.join(name, (from, message) => claims.receive(from, message))
    const claims = FleetClaims.create({ clock, random: SeededRandom.create(index), network: peer, epochLease: PERMANENT_LEASE, incarnation: 'first' })
    joinMembership(claims, size)
    claims.run(stop.signal).catch(() => {})
    return claims
  })
  await clock.advanceAsync(600)
  const latencies = build({ numberOfSignificantValueDigits: 3 })
  const messagesBefore = network.sentMessages
  for (let index = 0; index < CLAIMS; index += 1) {
    const started = clock.monotonicMilliseconds()
    const claims = all[index % size] as FleetClaims
    const pending = claims.claim({ customer: 'c', idempotencyKey: `k${index}`, fingerprint: 'f', signal: stop.signal }).then((decision) => {
      latencies.recordValue(Math.round((clock.monotonicMilliseconds() - started) * 1000))
      if (decision.kind === 'granted') decision.ticket.finish({ kind: 'answered', answer: undefined })
    })
    await clock.advanceAsync(20)
    await pending
  }
  const messagesPerClaim = (network.sentMessages - messagesBefore) / CLAIMS
  stop.abort()
  return { medianMilliseconds: latencies.getValueAtPercentile(50) / 1000, p99Milliseconds: latencies.getValueAtPercentile(99) / 1000, messagesPerClaim }
}

function oneWayDelay (random: RandomSource): number {
  return ONE_WAY_MILLISECONDS + random.next() * JITTER_MILLISECONDS
}

/** Models the same claim written to a journal on three control VMs, committed once the leader and the faster of two followers have synced it. */
function simulateJournalClaims (): ClaimLatency {
  const random = SeededRandom.create(2)
  const latencies = build({ numberOfSignificantValueDigits: 3 })
  for (let index = 0; index < CLAIMS; index += 1) {
    const waitForGroup = random.next() * GROUP_COMMIT_MILLISECONDS
    const follower = (): number => oneWayDelay(random) + SYNC_MILLISECONDS + oneWayDelay(random)
    const committed = Math.max(SYNC_MILLISECONDS, Math.min(follower(), follower()))
    latencies.recordValue(Math.round((oneWayDelay(random) + waitForGroup + committed + oneWayDelay(random)) * 1000))
  }
  return { medianMilliseconds: latencies.getValueAtPercentile(50) / 1000, p99Milliseconds: latencies.getValueAtPercentile(99) / 1000, messagesPerClaim: 6 }
}

/** Measures the processor time of claims with encoded messages; all five holders and the claimant run in this process. */
async function measureProcessorTime (): Promise<number> {
  const clock = SystemClock.create()
  const fleet = new Map<string, FleetClaims>()
  const stop = new AbortController()
  for (const { name } of membershipOf(5).entries) {
    const send = (to: string, message: ClaimMessage): void => {
      const bytes = ClaimMessage.encode(message).finish()
      queueMicrotask(() => fleet.get(to)?.receive(name, ClaimMessage.decode(bytes)))
    }
    const claims = FleetClaims.create({ clock, random: SeededRandom.create(1), network: { self: name, send }, epochLease: PERMANENT_LEASE, incarnation: 'first' })
    joinMembership(claims, 5)
    claims.run(stop.signal).catch(() => {})
    fleet.set(name, claims)
  }
  await sleep(clock, 600)
  const claims = fleet.get('entry-0') as FleetClaims
  const before = process.cpuUsage()
  for (let index = 0; index < TIMED_CLAIMS; index += 1) {
    const decision = await claims.claim({ customer: 'c', idempotencyKey: `k${index}`, fingerprint: 'f', signal: stop.signal })
    if (decision.kind === 'granted') decision.ticket.finish({ kind: 'answered', answer: undefined })
  }
  const used = process.cpuUsage(before)
  stop.abort()
  return (used.user + used.system) / TIMED_CLAIMS
}

/** Measures the heap per claim record at one holder. */
async function measureRecordMemory (records: number): Promise<number> {
  const stop = new AbortController()
  const clock = SystemClock.create()
  const claims = FleetClaims.create({ clock, random: SeededRandom.create(1), network: { self: 'entry-0', send: () => {} }, epochLease: PERMANENT_LEASE, incarnation: 'first' })
  joinMembership(claims, 1)
  claims.run(stop.signal).catch(() => {})
  await sleep(clock, 600)
  globalThis.gc?.()
  const before = process.memoryUsage().heapUsed
  for (let index = 0; index < records; index += 1) {
    await claims.claim({ customer: 'c', idempotencyKey: `k${index}`, fingerprint: '0123456789abcdef0123456789abcdef', signal: stop.signal })
  }
  globalThis.gc?.()
  const bytes = (process.memoryUsage().heapUsed - before) / claims.view().records
  stop.abort()
  return bytes
}

function measureMembershipChange (size: number): number {
  const claims = FleetClaims.create({ clock: FakeClock.create(), random: SeededRandom.create(1), network: { self: 'entry-0', send: () => {} }, epochLease: PERMANENT_LEASE, incarnation: 'first' })
  const membership = membershipOf(size)
  claims.applyMembership(membership)
  const before = process.cpuUsage()
  claims.applyMembership({ ...membership, epoch: 2, entries: membership.entries.slice(1) })
  const used = process.cpuUsage(before)
  return (used.user + used.system) / 1000
}

function countHeldSlots (size: number): number {
  const groups = ClaimGroups.create(membershipOf(size))
  return Array.from({ length: 1024 }, (_, slot) => groups.of(slot)).filter((group) => group.members.includes('entry-0')).length
}

/** Compares claims held in memory by a majority of entries with claims in a journal on control VMs: latency, messages, processor time and memory. */
export async function measureClaims (): Promise<MeasureReport> {
  const rows: MeasureRow[] = []
  const journal = simulateJournalClaims()
  const quorum = await simulateQuorumClaims(44)
  rows.push(atMost('claim in memory, 44 entries: p99', quorum.p99Milliseconds, 'ms', ADDED_LIMIT_MILLISECONDS, `${journal.p99Milliseconds.toFixed(1)} ms journal`))
  rows.push(withoutTarget('claim in memory: median', quorum.medianMilliseconds, 'ms', `${journal.medianMilliseconds.toFixed(1)} ms journal`))
  rows.push(withoutTarget('messages per claim, including its end', quorum.messagesPerClaim, '', `${journal.messagesPerClaim} for the claim alone, journal, without sharing a group commit`))
  rows.push(withoutTarget('processor time per claim, claimant and five holders together', await measureProcessorTime(), 'µs'))
  for (const records of MEMORY_RECORDS) rows.push(withoutTarget(`heap per record, with ${records} records`, await measureRecordMemory(records), 'bytes'))
  for (const size of FLEET_SIZES) rows.push(withoutTarget(`applying a membership of ${size} entries`, measureMembershipChange(size), 'ms', `${countHeldSlots(size)} of 1,024 slots held`))
  const notes = [
    `Simulated one-way delay ${ONE_WAY_MILLISECONDS} to ${ONE_WAY_MILLISECONDS + JITTER_MILLISECONDS} ms; the journal is a model: ` +
    `${SYNC_MILLISECONDS} ms for a sync, a group commit every ${GROUP_COMMIT_MILLISECONDS} ms, three control VMs. Claims run the real code.`
  ]
  return { name: 'claims', rows, notes }
}
