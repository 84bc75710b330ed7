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
import { EntryRegister } from '../entry-register.ts'
import { OperatorService } from '../operator-service.ts'
import { OperatorTokens } from '../operator-tokens.ts'
import { FakeLog } from './fake-log.ts'

const CUSTOMER = '[[customers]]\nname = "ministry"\nrate = 5.0\nburst = 5\n'
const KEY = `[[keys]]\ncustomer = "ministry"\ndigest = "sha256:${'a'.repeat(64)}"\n`

/** The service with a log in memory, called without a connection. */
class Desk {
  readonly clock = FakeClock.create()
  readonly state = AcceptedState.create()
  readonly log = FakeLog.create(this.state)
  readonly register = EntryRegister.create(this.clock)
  readonly enrolment: Enrolment
  private readonly handlers: OperatorServer

  private constructor () {
    const { log, state, clock, register } = this
    const proposer = ControlProposer.create({ log, state, clock, addressOf: (name) => `${name}:7400` })
    this.enrolment = Enrolment.create({ log, state, register, proposer, clock })
    const tokens = OperatorTokens.create([
      { name: 'ana', role: 'operator', digest: sha256Digest('ana-token') },
      { name: 'distant', role: 'authority', digest: sha256Digest('distant-token') }
    ])
    this.handlers = OperatorService.create({ log, state, proposer, register, enrolment: this.enrolment, tokens, clock }).handlers()
  }

  static create (): Desk {
    return new Desk()
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

  /** Enrols entries that all witness, without any of them being heard. */
  enrol (names: readonly string[]): void {
    const put = names.map((name): EnrolledEntry => ({ name, zone: 'zone-1', region: 'south', peerAddress: name, witness: false }))
    this.state.entries.change(put, [], true)
  }

  /** A report that answers a probe of this moment. */
  report (name: string, number: number): void {
    const held = { number, digest: '' }
    const report = { name, zone: 'zone-1', region: 'south', peerAddress: name, held, epoch: this.state.entries.epoch } as EntryReport
    this.register.update({ report, heldAsOf: this.clock.monotonicMilliseconds(), send: () => {} })
  }
}

function outcomeOf (answer: { readonly outcome: ApplyOutcome }): string {
  return ApplyOutcome[answer.outcome].replace('APPLY_OUTCOME_', '')
}

test('a resend after a lost answer gets that the file is accepted', async () => {
  const desk = Desk.create()
  desk.log.failNext = 1
  desk.log.isAppliedDespite = true
  assert.is(await desk.apply(`number = 1\n${CUSTOMER}`), 'NOT_CONFIRMED')
  assert.is(await desk.apply(`number = 1\n${CUSTOMER}`), 'ACCEPTED')
  assert.is(desk.state.audit.lastSequence, 1)
})

test('a bad file is refused with every fault, changes nothing, and is recorded', async () => {
  const desk = Desk.create()
  const answer = await desk.ask<ApplyAnswer>('apply', { file: `number = 0\n${KEY}` })
  assert.is(outcomeOf(answer), 'INVALID')
  assert.equal(answer.issues.map((issue) => issue.path), ['number'])
  assert.is(desk.state.accepted, undefined)
  assert.is(desk.state.audit.lastSequence, 1)
})

test('a state that the sender parsed is checked again and taken', async () => {
  const desk = Desk.create()
  const send = async (text: string): Promise<string> => outcomeOf(await desk.ask<ApplyAnswer>('apply', { file: '', state: Buffer.from(text) }))
  assert.is(await send('{"number":1,"keys":[{"customer":"nobody"}]}'), 'INVALID')
  assert.is(await send('no JSON'), 'INVALID')
  assert.is(await send('{"number":1,"customers":[{"name":"ministry","rate":5,"burst":5}]}'), 'ACCEPTED')
  assert.is(await desk.apply(`number = 1\n${CUSTOMER}`), 'ACCEPTED')
})

test('requests without a known token are rejected, and decisions of an operator are forbidden', async () => {
  const desk = Desk.create()
  const rejected = await desk.ask('status', {}, 'other').catch((error: ServiceError) => error)
  assert.is((rejected as ServiceError).code, 16)
  await desk.apply(`number = 1\n${CUSTOMER}`)
  assert.is(await desk.apply('number = 1\n'), 'DISPUTE')
  const [dispute] = readJson<{ candidates: { digest: string }[] }[]>(await desk.ask('disputes', { number: 0 }))
  const decision = { number: 1, digest: dispute?.candidates[1]?.digest }
  assert.is(outcomeOf(await desk.ask<ApplyAnswer>('decide', decision)), 'FORBIDDEN')
  assert.is(outcomeOf(await desk.ask<ApplyAnswer>('decide', decision, 'distant-token')), 'ACCEPTED')
  assert.is(desk.state.accepted?.identity.number, 2)
})

test('a replica that does not lead names the leader', async () => {
  const desk = Desk.create()
  desk.log.isLeading = false
  const answer = await desk.ask<ApplyAnswer>('apply', { file: `number = 1\n${CUSTOMER}` })
  assert.equal([outcomeOf(answer), answer.leader], ['NOT_LEADER', 'other:7400'])
  const rejected = await desk.ask('status', {}).catch((error: ServiceError) => error)
  assert.equal((rejected as ServiceError).metadata.get('hickoryspoke-leader'), ['other:7400'])
})

test('the exported file is taken again', async () => {
  const desk = Desk.create()
  await desk.apply(`number = 1\n${CUSTOMER}${KEY}`)
  const { file } = await desk.ask<{ file: string }>('export', {})
  assert.is(await desk.apply(file), 'ACCEPTED')
  assert.is(desk.state.audit.lastSequence, 1)
})

/** Who reports the file that withdraws, and what its sender is told. */
const DELIVERIES = [
  { title: 'nobody', reporters: [], outcome: 'NOT_CONFIRMED' },
  { title: 'one of three witnesses', reporters: ['a'], outcome: 'NOT_CONFIRMED' },
  { title: 'two of three witnesses', reporters: ['a', 'b'], outcome: 'ACCEPTED' }
]

for (const { title, reporters, outcome } of DELIVERIES) {
  test(`a file that withdraws a key and is held by ${title}: ${outcome}`, async () => {
    const desk = Desk.create()
    await desk.apply(`number = 1\n${CUSTOMER}${KEY}`)
    desk.enrol(['a', 'b', 'c'])
    const answer = desk.apply(`number = 2\n${CUSTOMER}`)
    await flushPromises()
    for (const name of reporters) desk.report(name, 2)
    await flushPromises()
    desk.clock.advance(DELIVERY_TIMEOUT_MILLISECONDS)
    assert.is(await answer, outcome)
    assert.is(desk.state.accepted?.identity.number, 2)
  })
}

test('word of what an entry held counts for a short time only', async () => {
  const desk = Desk.create()
  desk.enrol(['a'])
  desk.report('a', 7)
  assert.ok(desk.register.holds('a', 7, 0))
  desk.clock.advance(2_001)
  assert.not.ok(desk.register.holds('a', 7, 0))
})

test('a file that withdraws nothing does not wait for the entries', async () => {
  const desk = Desk.create()
  desk.enrol(['a', 'b', 'c'])
  assert.is(await desk.apply(`number = 1\n${CUSTOMER}${KEY}`), 'ACCEPTED')
})

test('a forced removal needs the authority and entries that were silent for long', async () => {
  const desk = Desk.create()
  desk.enrol(['a', 'b', 'c'])
  await desk.enrolment.step()
  const force = async (token: string): Promise<string> => outcomeOf(await desk.ask<ApplyAnswer>('forceRemoval', { entries: ['a', 'b'] }, token))
  assert.is(await force('ana-token'), 'FORBIDDEN')
  assert.is(await force('distant-token'), 'STALE')
  desk.clock.advance(REMOVAL_SILENCE_MILLISECONDS + 1)
  assert.is(await force('distant-token'), 'ACCEPTED')
  assert.equal(desk.state.entries.membership().entries.map((entry) => entry.name), ['c'])
})

function readJson<Document> (answer: unknown): Document {
  return JSON.parse((answer as { json: Buffer }).json.toString()) as Document
}

test.run()
