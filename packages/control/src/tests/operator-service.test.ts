import { Metadata, type sendUnaryData, type ServerUnaryCall, type ServiceError } from '@grpc/grpc-js'
import type { EnrolledEntry, EntryReport } from '@hickoryspoke/protocol/generated/distribution'
import { ApplyOutcome, type ApplyAnswer, type OperatorServer } from '@hickoryspoke/protocol/generated/operator'
import { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ControlProposer } from '../control-proposer.ts'
import { DELIVERY_TIMEOUT_MILLISECONDS } from '../delivery.ts'
import { Enrolment, REMOVAL_SILENCE_MILLISECONDS } from '../enrolment.ts'
import { EntryRegistry } from '../entry-registry.ts'
import { OperatorService } from '../operator-service.ts'
import { OperatorTokens } from '../operator-tokens.ts'
import { FakeLog } from './fake-log.ts'

const CUSTOMER = '[[customers]]\nname = "ministry"\nrate = 5.0\nburst = 5\n'
const KEY = `[[keys]]\ncustomer = "ministry"\ndigest = "sha256:${'a'.repeat(64)}"\n`

/** The operator service on an in-memory log; its handlers are called without a connection. */
class ServiceHarness {
  readonly clock = FakeClock.create()
  readonly state = AcceptedState.create()
  readonly log = FakeLog.create(this.state)
  readonly registry = EntryRegistry.create(this.clock)
  readonly enrolment: Enrolment
  private readonly handlers: OperatorServer

  private constructor () {
    const { log, state, clock, registry } = this
    const proposer = ControlProposer.create({ log, state, clock, addressOf: (name) => `${name}:7400` })
    this.enrolment = Enrolment.create({ log, state, registry, proposer, clock })
    const tokens = OperatorTokens.create([
      { name: 'ana', role: 'operator', digest: sha256Digest('ana-token') },
      { name: 'distant', role: 'authority', digest: sha256Digest('distant-token') }
    ])
    this.handlers = OperatorService.create({ log, state, proposer, registry, enrolment: this.enrolment, tokens, clock }).handlers()
  }

  static create (): ServiceHarness {
    return new ServiceHarness()
  }

  ask<Answer> (method: 'apply' | 'decide' | 'status' | 'disputes' | 'export' | 'forceRemoval', request: object, token = 'ana-token'): Promise<Answer> {
    const metadata = new Metadata()
    metadata.set('authorization', `Bearer ${token}`)
    const handle = this.handlers[method] as unknown as (call: ServerUnaryCall<object, Answer>, done: sendUnaryData<Answer>) => void
    return new Promise((resolve, reject) => {
      handle({ metadata, request } as ServerUnaryCall<object, Answer>, (error, answer) => {
        if (error !== null) reject(Object.assign(new Error(error.details), error))
        else resolve(answer as Answer)
      })
    })
  }

  async apply (file: string): Promise<string> {
    return outcomeOf(await this.ask<ApplyAnswer>('apply', { file }))
  }

  /** Enrols entries, which all become witnesses, before any of them has reported. */
  enrol (names: readonly string[]): void {
    const put = names.map((name): EnrolledEntry => ({ name, zone: 'zone-1', region: 'south', peerAddress: name, witness: false }))
    this.state.entries.applyChange(put, [], true)
  }

  /** Stores a report that answers a probe sent at this moment. */
  report (name: string, number: number): void {
    const held = { number, digest: '' }
    const report = { name, zone: 'zone-1', region: 'south', peerAddress: name, held, epoch: this.state.entries.epoch } as EntryReport
    this.registry.update({ report, heldAsOf: this.clock.monotonicMilliseconds(), send: () => {} })
  }
}

function outcomeOf (answer: { readonly outcome: ApplyOutcome }): string {
  return ApplyOutcome[answer.outcome].replace('APPLY_OUTCOME_', '')
}

test('sending a file again after a lost answer returns that it is accepted', async () => {
  const harness = ServiceHarness.create()
  harness.log.failNext = 1
  harness.log.isAppliedDespite = true
  assert.is(await harness.apply(`number = 1\n${CUSTOMER}`), 'NOT_CONFIRMED')
  assert.is(await harness.apply(`number = 1\n${CUSTOMER}`), 'ACCEPTED')
  assert.is(harness.state.audit.lastSequence, 1)
})

test('an invalid file is refused with its issues, changes nothing, and is recorded in the audit trail', async () => {
  const harness = ServiceHarness.create()
  const answer = await harness.ask<ApplyAnswer>('apply', { file: `number = 0\n${KEY}` })
  assert.is(outcomeOf(answer), 'INVALID')
  assert.equal(answer.issues.map((issue) => issue.path), ['number'])
  assert.is(harness.state.accepted, undefined)
  assert.is(harness.state.audit.lastSequence, 1)
})

test('a state that the client parsed is validated again and accepted', async () => {
  const harness = ServiceHarness.create()
  const send = async (text: string): Promise<string> => outcomeOf(await harness.ask<ApplyAnswer>('apply', { file: '', state: Buffer.from(text) }))
  assert.is(await send('{"number":1,"keys":[{"customer":"nobody"}]}'), 'INVALID')
  assert.is(await send('no JSON'), 'INVALID')
  assert.is(await send('{"number":1,"customers":[{"name":"ministry","rate":5,"burst":5}]}'), 'ACCEPTED')
  assert.is(await harness.apply(`number = 1\n${CUSTOMER}`), 'ACCEPTED')
})

test('requests without a known token are rejected, and an operator may not decide disputes', async () => {
  const harness = ServiceHarness.create()
  const rejected = await harness.ask('status', {}, 'other').catch((error: ServiceError) => error)
  assert.is((rejected as ServiceError).code, 16)
  await harness.apply(`number = 1\n${CUSTOMER}`)
  assert.is(await harness.apply('number = 1\n'), 'DISPUTE')
  const [dispute] = readJson<{ candidates: { digest: string }[] }[]>(await harness.ask('disputes', { number: 0 }))
  const decision = { number: 1, digest: dispute?.candidates[1]?.digest }
  assert.is(outcomeOf(await harness.ask<ApplyAnswer>('decide', decision)), 'FORBIDDEN')
  assert.is(outcomeOf(await harness.ask<ApplyAnswer>('decide', decision, 'distant-token')), 'ACCEPTED')
  assert.is(harness.state.accepted?.identity.number, 2)
})

test('a replica that does not lead returns the address of the leader', async () => {
  const harness = ServiceHarness.create()
  harness.log.isLeading = false
  const answer = await harness.ask<ApplyAnswer>('apply', { file: `number = 1\n${CUSTOMER}` })
  assert.equal([outcomeOf(answer), answer.leader], ['NOT_LEADER', 'other:7400'])
  const rejected = await harness.ask('status', {}).catch((error: ServiceError) => error)
  assert.equal((rejected as ServiceError).metadata.get('hickoryspoke-leader'), ['other:7400'])
})

test('an exported file is accepted when it is applied again', async () => {
  const harness = ServiceHarness.create()
  await harness.apply(`number = 1\n${CUSTOMER}${KEY}`)
  const { file } = await harness.ask<{ file: string }>('export', {})
  assert.is(await harness.apply(file), 'ACCEPTED')
  assert.is(harness.state.audit.lastSequence, 1)
})

/** Entries that report holding a file that withdraws a key, and the outcome that its sender gets. */
const DELIVERIES = [
  { title: 'nobody', reporters: [], outcome: 'NOT_CONFIRMED' },
  { title: 'one of three witnesses', reporters: ['a'], outcome: 'NOT_CONFIRMED' },
  { title: 'two of three witnesses', reporters: ['a', 'b'], outcome: 'ACCEPTED' }
]

for (const { title, reporters, outcome } of DELIVERIES) {
  test(`a file that withdraws a key and is held by ${title}: ${outcome}`, async () => {
    const harness = ServiceHarness.create()
    await harness.apply(`number = 1\n${CUSTOMER}${KEY}`)
    harness.enrol(['a', 'b', 'c'])
    const answer = harness.apply(`number = 2\n${CUSTOMER}`)
    await flushPromises()
    for (const name of reporters) harness.report(name, 2)
    await flushPromises()
    harness.clock.advance(DELIVERY_TIMEOUT_MILLISECONDS)
    assert.is(await answer, outcome)
    assert.is(harness.state.accepted?.identity.number, 2)
  })
}

test('a report of what an entry holds is valid for a short time only', async () => {
  const harness = ServiceHarness.create()
  harness.enrol(['a'])
  harness.report('a', 7)
  assert.ok(harness.registry.holds('a', 7, 0))
  harness.clock.advance(2_001)
  assert.not.ok(harness.registry.holds('a', 7, 0))
})

test('a file that withdraws nothing is accepted without waiting for the entries', async () => {
  const harness = ServiceHarness.create()
  harness.enrol(['a', 'b', 'c'])
  assert.is(await harness.apply(`number = 1\n${CUSTOMER}${KEY}`), 'ACCEPTED')
})

test('a forced removal requires the authority role and entries that have been silent long enough', async () => {
  const harness = ServiceHarness.create()
  harness.enrol(['a', 'b', 'c'])
  await harness.enrolment.step()
  const force = async (token: string): Promise<string> => outcomeOf(await harness.ask<ApplyAnswer>('forceRemoval', { entries: ['a', 'b'] }, token))
  assert.is(await force('ana-token'), 'FORBIDDEN')
  assert.is(await force('distant-token'), 'STALE')
  harness.clock.advance(REMOVAL_SILENCE_MILLISECONDS + 1)
  assert.is(await force('distant-token'), 'ACCEPTED')
  assert.equal(harness.state.entries.membership().entries.map((entry) => entry.name), ['c'])
})

function readJson<Document> (answer: unknown): Document {
  return JSON.parse((answer as { json: Buffer }).json.toString()) as Document
}

test.run()
