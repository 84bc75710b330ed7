import { ClaimState } from '@hickoryspoke/protocol/generated/claim'
import fastCheck from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ClaimRecords } from '../claim-records.ts'
import { DEFAULT_CLAIM_SETTINGS } from '../claim-settings.ts'
import type { ClaimDecision } from '../collaborators.ts'
import { ClaimFleet, TEST_CLAIM_SETTINGS } from './claim-fleet.ts'

const ANSWER = { status: 201, headers: ['Content-Type', 'text/plain'], body: Buffer.from('done') }
const RETENTION = TEST_CLAIM_SETTINGS.retentionMilliseconds as number

function finish (decision: ClaimDecision | undefined, kind: 'answered' | 'not_run' | 'unknown'): void {
  assert.is(decision?.kind, 'granted')
  if (decision?.kind === 'granted') decision.ticket.finish(kind === 'answered' ? { kind, answer: ANSWER } : { kind })
}

for (const size of [1, 2, 3, 5, 7]) {
  test(`${size} entries: the first request runs, a duplicate gets its response, other content is refused`, async () => {
    const fleet = await ClaimFleet.create(size)
    finish(await fleet.ask('entry-1', 'k'), 'answered')
    await fleet.advance(10)
    const second = await fleet.ask(fleet.names.at(-1) as string, 'k')
    assert.equal(second?.kind === 'stored' && [second.answer.status, second.answer.body.toString()], [201, 'done'])
    assert.is((await fleet.ask('entry-1', 'k', 'other content'))?.kind, 'content_differs')
    fleet.stop()
  })
}

test('of duplicates sent to all entries at once, one runs and the others wait for its response', async () => {
  const fleet = await ClaimFleet.create(7)
  const decisions: (ClaimDecision | undefined)[] = []
  const all = fleet.names.map(async (name) => {
    const decision = await fleet.request(name, 'k')
    if (decision?.kind === 'granted') fleet.clock.schedule(300, () => decision.ticket.finish({ kind: 'answered', answer: ANSWER }))
    decisions.push(decision)
  })
  await fleet.advance(3000)
  await Promise.all(all)
  assert.is(fleet.runs.get('k'), 1)
  assert.equal(decisions.map((decision) => decision?.kind).sort(), ['granted', ...Array.from({ length: 6 }, () => 'stored')])
  fleet.stop()
})

test('a duplicate may run if the first request is proven not to have run', async () => {
  const fleet = await ClaimFleet.create(5)
  finish(await fleet.ask('entry-1', 'k'), 'not_run')
  await fleet.advance(10)
  assert.is((await fleet.ask('entry-2', 'k'))?.kind, 'granted')
  fleet.stop()
})

test('after a crash of the entry that ran the request, a duplicate gets a conflict', async () => {
  const fleet = await ClaimFleet.create(5)
  assert.is((await fleet.ask('entry-1', 'k'))?.kind, 'granted')
  fleet.crash('entry-1')
  assert.is((await fleet.ask('entry-2', 'k'))?.kind, 'conflict')
  fleet.stop()
})

test('a claim survives the loss of all holders if each replacement copies the records before the next loss', async () => {
  const fleet = await ClaimFleet.create(7)
  assert.is((await fleet.ask('entry-1', 'k'))?.kind, 'granted')
  for (const name of [...fleet.names]) {
    fleet.replace(name)
    await fleet.advance(5500)
    assert.is((await fleet.ask(fleet.running.at(-1) as string, 'k'))?.kind, 'conflict', `after the loss of ${name}`)
  }
  assert.is(fleet.runs.get('k'), 1)
  fleet.stop()
})

test('a rolling restart of all entries loses no claim', async () => {
  const fleet = await ClaimFleet.create(5)
  assert.is((await fleet.ask('entry-1', 'k'))?.kind, 'granted')
  for (const name of [...fleet.names]) {
    fleet.crash(name)
    fleet.start(name)
    await fleet.advance(4000)
  }
  assert.is((await fleet.ask('entry-3', 'k'))?.kind, 'conflict')
  assert.is((await fleet.ask('entry-3', 'new'))?.kind, 'granted')
  fleet.stop()
})

test('after all entries restart at once, no claim is granted until every lost claim has expired', async () => {
  const fleet = await ClaimFleet.create(5)
  assert.is((await fleet.ask('entry-1', 'k'))?.kind, 'granted')
  for (const name of fleet.names) {
    fleet.crash(name)
    fleet.start(name)
  }
  await fleet.advance(RETENTION - 1000)
  assert.is((await fleet.ask('entry-2', 'k'))?.kind, 'unavailable')
  await fleet.advance(5000)
  assert.is((await fleet.ask('entry-2', 'k'))?.kind, 'granted')
  fleet.stop()
})

test('without a majority of holders, or without a valid epoch lease, a claim is refused', async () => {
  const fleet = await ClaimFleet.create(5)
  for (const name of fleet.names.slice(2)) fleet.crash(name)
  assert.is((await fleet.ask('entry-1', 'k'))?.kind, 'unavailable')
  const other = await ClaimFleet.create(5)
  other.isolateFromAuthority('entry-1')
  await other.advance(5000)
  assert.is((await other.ask('entry-1', 'k'))?.kind, 'unavailable')
  assert.is((await other.ask('entry-2', 'k'))?.kind, 'granted')
  fleet.stop()
  other.stop()
})

test('a claim waits while the group of its slot changes', async () => {
  const fleet = await ClaimFleet.create(5, 1, { waitForFirstMilliseconds: 6000 })
  fleet.replace('entry-5')
  await fleet.advance(600)
  let decision: ClaimDecision | undefined
  const pending = fleet.request('entry-1', 'k').then((value) => { decision = value })
  await fleet.advance(3000)
  assert.is(decision, undefined)
  await fleet.advance(2500)
  await pending
  assert.is(decision?.kind, 'granted')
  fleet.stop()
})

test('full holders refuse new claims and evict none', async () => {
  const fleet = await ClaimFleet.create(5, 1, { maximumRecords: 3 })
  for (const key of ['a', 'b', 'c']) assert.is((await fleet.ask('entry-1', key))?.kind, 'granted')
  assert.is((await fleet.ask('entry-2', 'd'))?.kind, 'unavailable')
  assert.is((await fleet.ask('entry-2', 'a'))?.kind, 'conflict')
  await fleet.advance(RETENTION + 10_000)
  assert.is((await fleet.ask('entry-2', 'd'))?.kind, 'granted')
  fleet.stop()
})

test('a copied record is not a grant, and one with contradicting claimants belongs to none', () => {
  const settings = { ...DEFAULT_CLAIM_SETTINGS, ...TEST_CLAIM_SETTINGS }
  const records = ClaimRecords.create(settings)
  const copy = { claim: 'c', fingerprint: 'f', state: ClaimState.CLAIM_STATE_HELD, remainingMilliseconds: 1000 }
  records.merge(0, { ...copy, claimant: 'undecided' }, 0)
  assert.is(records.find(0, 'c', 1)?.isCopied, true)
  records.merge(0, { ...copy, claimant: 'decided' }, 0)
  assert.equal([records.find(0, 'c', 1)?.claimant, records.find(0, 'c', 1)?.isCopied], ['', true])
  records.merge(0, { ...copy, claimant: 'decided', state: ClaimState.CLAIM_STATE_ANSWERED }, 0)
  assert.is(records.find(0, 'c', 1)?.state, ClaimState.CLAIM_STATE_ANSWERED)
  assert.is(records.find(0, 'c', 1100), undefined)
})

type Step =
  | { readonly kind: 'send', readonly entry: number, readonly key: number, readonly end: 'answered' | 'not_run' | 'unknown' | 'none' }
  | { readonly kind: 'crash' | 'restart' | 'replace' | 'isolate' | 'rejoin', readonly entry: number }
  | { readonly kind: 'cut', readonly entry: number, readonly other: number }
  | { readonly kind: 'heal' }

const entry = fastCheck.nat({ max: 6 })
const step: fastCheck.Arbitrary<Step & { readonly pause: number }> = fastCheck.tuple(
  fastCheck.oneof(
    { weight: 8, arbitrary: fastCheck.record({ kind: fastCheck.constant('send' as const), entry, key: fastCheck.nat({ max: 1 }), end: fastCheck.constantFrom('answered', 'not_run', 'unknown', 'none') }) },
    { weight: 5, arbitrary: fastCheck.record({ kind: fastCheck.constantFrom('crash', 'restart', 'replace', 'isolate', 'rejoin'), entry }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant('cut' as const), entry, other: entry }) },
    { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant('heal' as const) }) }
  ),
  fastCheck.constantFrom(0, 0, 1, 3, 40, 500, 2500, 6000)
).map(([action, pause]) => ({ ...action, pause }) as Step & { pause: number })

const HANDLERS: { [Kind in Step['kind']]: (fleet: ClaimFleet, step: Extract<Step, { kind: Kind }>) => void } = {
  send: (fleet, { entry, key, end }) => {
    const name = nameAt(fleet, entry)
    fleet.request(name, `key-${key}`).then((decision) => {
      if (decision?.kind !== 'granted' || end === 'none') return
      if (end === 'not_run') fleet.runs.set(`key-${key}`, (fleet.runs.get(`key-${key}`) ?? 0) - 1)
      decision.ticket.finish(end === 'answered' ? { kind: end, answer: ANSWER } : { kind: end })
    }).catch(() => {})
  },
  crash: (fleet, { entry }) => fleet.crash(nameAt(fleet, entry)),
  restart: (fleet, { entry }) => {
    fleet.crash(nameAt(fleet, entry))
    fleet.start(nameAt(fleet, entry))
  },
  replace: (fleet, { entry }) => fleet.replace(nameAt(fleet, entry)),
  isolate: (fleet, { entry }) => fleet.isolateFromAuthority(nameAt(fleet, entry)),
  rejoin: (fleet, { entry }) => fleet.rejoinAuthority(nameAt(fleet, entry)),
  cut: (fleet, { entry, other }) => fleet.network.cut(nameAt(fleet, entry), nameAt(fleet, other)),
  heal: (fleet) => fleet.network.healAll()
}

function nameAt (fleet: ClaimFleet, place: number): string {
  return fleet.names[place % fleet.names.length] as string
}

function checkRuns (fleet: ClaimFleet): void {
  for (const [key, runs] of fleet.runs) assert.ok(runs <= 1, `${key} ran ${runs} times`)
}

test('under random crashes, restarts, replacements, partitions and resends, each key runs at most once', async () => {
  await fastCheck.assert(fastCheck.asyncProperty(
    fastCheck.integer({ min: 1, max: 1_000_000 }), fastCheck.constantFrom(2, 3, 5, 7), fastCheck.array(step, { minLength: 5, maxLength: 25 }),
    async (seed, size, steps) => {
      const fleet = await ClaimFleet.create(size, seed, { slots: 2 }, 4, 0.03)
      for (const action of steps) {
        const handler = HANDLERS[action.kind] as (fleet: ClaimFleet, action: Step) => void
        handler(fleet, action)
        await fleet.advance(action.pause)
        checkRuns(fleet)
      }
      await fleet.advance(3000)
      checkRuns(fleet)
      fleet.stop()
    }
  ), { seed: 20_261_204, numRuns: 150 })
})

test.run()
