import { EventEmitter } from 'node:events'
import type { DispatchMessage, EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { DispatchCall } from '../client-session.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { BusyProcess } from './busy-process.ts'
import { announcement, createLeadingService, emptyHello, question } from './fixture.ts'

const ENTRIES = 10
/** A leader on a small processor: it places a request in this time, and denies one in a tenth of it. */
const PLACE_MILLISECONDS = 1
const DENY_MILLISECONDS = 0.1
const QUESTIONS_PER_MILLISECOND = 2
const OVERLOAD_MILLISECONDS = 2_000
/** Target of the requests: an answer that comes later is worth nothing. */
const TARGET_MILLISECONDS = 1_000
/** An entry asks after 250 ms without a message, and gives up the leader after 650 ms. */
const ANSWER_MILLISECONDS = 400
/** An upstream that says that it leaves waits this long for the acknowledgement. */
const ACKNOWLEDGEMENT_MILLISECONDS = 1_000
/** The leader sends heartbeats of the log this often; a follower that gets none for 800 ms begins an election. */
const HEARTBEAT_MILLISECONDS = 200
const ELECTION_MILLISECONDS = 800

type Body = NonNullable<EntryMessage['body']>

/** The leader's side of the stream of an entry that confirms what it is sent. */
class EntryCall extends EventEmitter {
  constructor (private readonly leader: BusyProcess, private readonly written: (message: DispatchMessage) => void) {
    super()
  }

  getAuthContext (): object {
    return {}
  }

  write (message: DispatchMessage): void {
    this.written(message)
    const { body } = message
    if (body?.$case === 'upstreams') this.leader.schedule(1, () => this.receive({ $case: 'confirmation', value: { revision: body.value.revision } }))
  }

  end (): void {}
  destroy (): void {}

  receive (body: Body): void {
    this.emit('data', { body })
  }
}

/** A leader whose processor is used by placements and denials, with entries attached to it. */
async function createLeader () {
  const leader = BusyProcess.create()
  const registry = UpstreamRegistry.create(leader)
  for (let index = 0; index < 40; index += 1) registry.announce(announcement({ instance: `i-${index}`, address: `10.0.0.${index}:80`, slots: 400 }))
  const service = createLeadingService(leader, registry)
  const askedAt = new Map<number, number>()
  const waits = new Map<number, number>()
  const placed = new Set<number>()
  const numbersAt = new Map<number, number>()
  const written = ({ body }: DispatchMessage): void => {
    if (body?.$case === 'number') numbersAt.set(body.value.question, leader.monotonicMilliseconds())
    if (body?.$case !== 'placement' && body?.$case !== 'denial') return
    leader.work(body.$case === 'placement' ? PLACE_MILLISECONDS : DENY_MILLISECONDS)
    if (body.$case === 'placement') placed.add(body.value.ticket)
    waits.set(body.value.ticket, leader.monotonicMilliseconds() - (askedAt.get(body.value.ticket) ?? NaN))
  }
  const calls: EntryCall[] = []
  const attend = service.handlers().attend as unknown as (call: DispatchCall) => void
  /** An entry, known by its number, attaches; it runs no request. */
  const attach = (index: number, call: EntryCall): void => {
    calls[index] = call
    attend(call as unknown as DispatchCall)
    call.emit('data', emptyHello(`entry-${index}`))
  }
  const createCall = (): EntryCall => new EntryCall(leader, written)
  for (let index = 0; index < ENTRIES; index += 1) attach(index, createCall())
  const stopping = new AbortController()
  void service.run(stopping.signal)
  await leader.run(100)

  /** An entry asks for a request to be placed, after a delay. */
  const askLater = (ticket: number, delayMilliseconds: number): void => {
    const at = leader.monotonicMilliseconds() + delayMilliseconds
    askedAt.set(ticket, at)
    const call = calls[ticket % ENTRIES] as EntryCall
    const value = question(ticket, { customer: '', fingerprint: 0, targetMilliseconds: TARGET_MILLISECONDS })
    leader.schedule(delayMilliseconds, () => call.receive({ $case: 'question', value }))
  }
  /** Twice as many questions arrive as can be placed. */
  const overload = (): number => {
    const questions = OVERLOAD_MILLISECONDS * QUESTIONS_PER_MILLISECOND
    for (let ticket = 1; ticket <= questions; ticket += 1) askLater(ticket, ticket / QUESTIONS_PER_MILLISECOND)
    return questions
  }
  const reattach = (index: number): void => attach(index, createCall())
  return { leader, registry, service, calls, waits, placed, numbersAt, askLater, overload, reattach, stop: () => stopping.abort() }
}

// Guards against a leader that accepts more questions than it can place, and answers all of them too late (SHORT, CONFIG).
test('questions that arrive faster than they can be placed are placed or denied before the target of their requests', async () => {
  const { leader, waits, placed, overload, stop } = await createLeader()
  const questions = overload()
  await leader.run(OVERLOAD_MILLISECONDS + 5_000)
  stop()
  assert.is(waits.size, questions, 'each is answered')
  assert.ok(placed.size >= OVERLOAD_MILLISECONDS / PLACE_MILLISECONDS / 2, `${placed.size} of ${questions} are placed`)
  const longest = Math.max(...waits.values())
  assert.ok(longest < TARGET_MILLISECONDS, `a question waited for ${Math.round(longest)} ms`)
})

// Guards against entries that lose a leader because its answers wait behind placements, and then refuse their callers (CONFIG).
test('an entry that asks for the number in force is answered before it gives up a leader that is busy with placements', async () => {
  const { leader, calls, numbersAt, overload, stop } = await createLeader()
  overload()
  const askedAt = leader.monotonicMilliseconds() + OVERLOAD_MILLISECONDS
  leader.schedule(OVERLOAD_MILLISECONDS, () => calls[0]?.receive({ $case: 'number', value: { question: 1, relays: false } }))
  await leader.run(OVERLOAD_MILLISECONDS + 5_000)
  stop()
  const wait = (numbersAt.get(1) ?? Infinity) - askedAt
  assert.ok(wait < ANSWER_MILLISECONDS, `the answer took ${Math.round(wait)} ms`)
})

// Guards against news that every entry has confirmed, and that a leader busy with placements acknowledges too late (CONFIG).
test('a departure is acknowledged in time by a leader that is busy with placements', async () => {
  const { leader, registry, service, overload, stop } = await createLeader()
  overload()
  const leftAt = leader.monotonicMilliseconds() + OVERLOAD_MILLISECONDS
  let knownAt = Infinity
  leader.schedule(OVERLOAD_MILLISECONDS, () => {
    registry.leave('i-0', undefined)
    void service.isDepartureKnown('i-0').then((isKnown) => { if (isKnown) knownAt = leader.monotonicMilliseconds() })
  })
  await leader.run(OVERLOAD_MILLISECONDS + 10_000)
  stop()
  assert.ok(knownAt - leftAt < ACKNOWLEDGEMENT_MILLISECONDS, `the acknowledgement took ${Math.round(knownAt - leftAt)} ms`)
})

// Guards against elections because the leader of the log was busy with placements (CONFIG).
test('questions that arrive together do not keep the leader from sending heartbeats, and each is answered', async () => {
  const { leader, waits, askLater, stop } = await createLeader()
  for (let ticket = 1; ticket <= 2_000; ticket += 1) askLater(ticket, 10)
  let lastAt = leader.monotonicMilliseconds()
  let longest = 0
  const beat = (): void => {
    longest = Math.max(longest, leader.monotonicMilliseconds() - lastAt)
    lastAt = leader.monotonicMilliseconds()
    leader.schedule(HEARTBEAT_MILLISECONDS, beat)
  }
  leader.schedule(HEARTBEAT_MILLISECONDS, beat)
  await leader.run(5_000)
  stop()
  assert.is(waits.size, 2_000, 'each is answered')
  assert.ok(longest < ELECTION_MILLISECONDS, `no heartbeat was sent for ${Math.round(longest)} ms`)
})

// Guards against slots that stay taken because the end of a request overtook its question.
test('a request that ends before its question was handled takes no slot', async () => {
  const { leader, service, calls, askLater, stop } = await createLeader()
  for (let ticket = 1; ticket <= 500; ticket += 1) askLater(ticket, 10)
  const ended = { outcome: PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED, milliseconds: 0, load: undefined, statedLimit: undefined, instance: '' }
  for (let ticket = 1; ticket <= 500; ticket += 1) leader.schedule(10, () => calls[ticket % ENTRIES]?.receive({ $case: 'end', value: { ticket, ...ended } }))
  await leader.run(2_000)
  stop()
  assert.is(service.pools().reduce((sum, pool) => sum + pool.inFlight, 0), 0)
})

// Guards against slots that stay taken because questions of a stream were handled after the entry had begun another one.
test('questions of a stream that its entry has replaced take no slot', async () => {
  const { leader, service, askLater, reattach, stop } = await createLeader()
  for (let ticket = ENTRIES; ticket <= 50 * ENTRIES; ticket += ENTRIES) askLater(ticket, 10)
  leader.schedule(10, () => reattach(0))
  await leader.run(2_000)
  stop()
  assert.is(service.pools().reduce((sum, pool) => sum + pool.inFlight, 0), 0)
})

// Guards against slots that stay taken, and questions that are never answered, as a stream that was replaced still delivers messages (SHORT).
test('a question that arrives late on a stream that was replaced does not displace the one on the new stream', async () => {
  const { leader, calls, placed, reattach, stop } = await createLeader()
  const replaced = calls[0] as EntryCall
  const ask = (call: EntryCall | undefined): void => call?.receive({ $case: 'question', value: question(1, { customer: '', fingerprint: 0 }) })
  reattach(0)
  const answers: DispatchMessage[] = []
  replaced.write = (message) => { answers.push(message) }
  ask(calls[0])
  ask(replaced)
  await leader.run(1_000)
  stop()
  assert.equal(answers, [])
  assert.equal([...placed], [1])
})

test.run()
