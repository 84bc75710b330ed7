import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AttemptFailure } from '../attempt-failure.ts'
import { ResponseDeadline } from '../response-deadline.ts'
import { FRAMINGS } from '../response-framing.ts'
import { UpstreamResponse } from '../upstream-response.ts'

const TIMEOUT_MILLISECONDS = 1_000
/** At the timeout, what has arrived is read first. */
const READ_MILLISECONDS = 10
/** After its timeout, a request whose upstream hangs must have ended within this time. */
const LATEST_END_MILLISECONDS = 250
const CHUNK = Buffer.from('part')
const NEVER = Infinity

/** When the upstream sends and when the caller takes nothing, in milliseconds since the start of the request. */
interface Case {
  readonly name: string
  readonly headAt: number
  /** The upstream sends a part every 50 ms until then, for as long as it may. */
  readonly silentAt: number
  readonly blocked?: readonly [from: number, to: number]
  readonly patienceMilliseconds?: number
  /** Between which times the response is aborted, and why; undefined if it is not. */
  readonly aborted: { readonly after: number, readonly by: number, readonly code: string } | undefined
}

const STALLED = { after: TIMEOUT_MILLISECONDS, by: TIMEOUT_MILLISECONDS + LATEST_END_MILLISECONDS, code: 'stalled_answer' }

const CASES: readonly Case[] = [
  { name: 'the upstream is silent from its head on', headAt: 100, silentAt: 0, aborted: STALLED },
  { name: 'the upstream is silent from shortly before the timeout on', headAt: 100, silentAt: 999, aborted: STALLED },
  { name: 'the upstream is silent after the caller has let it go on', headAt: 100, silentAt: 0, blocked: [150, 2_500], aborted: { after: 2_500, by: 2_750, code: 'stalled_answer' } },
  { name: 'the upstream sends on without an end', headAt: 100, silentAt: NEVER, aborted: { after: 2_000, by: 2_250, code: 'deadline_over' } },
  { name: 'the upstream sends on without an end, and the caller pauses', headAt: 100, silentAt: NEVER, blocked: [500, 3_500], aborted: { after: 4_000, by: 4_750, code: 'deadline_over' } },
  { name: 'the caller takes nothing', headAt: 100, silentAt: NEVER, blocked: [150, NEVER], aborted: undefined },
  { name: 'the caller takes nothing from before the timeout on', headAt: 900, silentAt: 0, blocked: [950, NEVER], aborted: undefined },
  { name: 'the patience of the caller is over', headAt: 100, silentAt: 0, patienceMilliseconds: 300, aborted: STALLED }
]

/** A caller that takes everything except while it is blocked. */
class Sink {
  private task: (() => void) | undefined
  isBlocked = false

  write (): boolean {
    return !this.isBlocked
  }

  whenReady (task: () => void): void {
    this.task = task
  }

  unblock (): void {
    this.isBlocked = false
    this.task?.()
    this.task = undefined
  }
}

async function play ({ headAt, silentAt, blocked, patienceMilliseconds }: Case): Promise<{ at: number, code: string } | undefined> {
  const clock = FakeClock.create()
  const deadline = ResponseDeadline.start(clock, { startedAt: 0, timeoutMilliseconds: TIMEOUT_MILLISECONDS, patienceMilliseconds })
  await clock.advanceAsync(headAt)
  const sink = new Sink()
  let mayFlow = true
  let aborted: { at: number, code: string } | undefined
  const response = UpstreamResponse.create(clock, 200, [], { kind: FRAMINGS.chunked, bytes: 0 }, {
    forgetConnection: () => {},
    pause: () => { mayFlow = false },
    resume: () => { mayFlow = true },
    abort: (failure) => {
      aborted ??= { at: clock.monotonicMilliseconds(), code: failure.code }
      response.fail(failure)
    }
  })
  const endWatch = deadline.watch(response)
  void response.pipeTo(sink)
  for (let now = headAt; now < 6_000; now += 50) {
    if (blocked?.[0] === now) {
      sink.isBlocked = true
      response.receive(CHUNK)
    }
    if (blocked?.[1] === now) sink.unblock()
    if (now < silentAt && mayFlow) response.receive(CHUNK)
    await clock.advanceAsync(50)
  }
  endWatch()
  deadline.end()
  return aborted
}

for (const row of CASES) {
  test(`${row.name}: ${row.aborted?.code ?? 'not aborted'}`, async () => {
    const aborted = await play(row)
    assert.is(aborted?.code, row.aborted?.code)
    if (aborted === undefined || row.aborted === undefined) return
    assert.ok(aborted.at >= row.aborted.after && aborted.at <= row.aborted.by, `aborted at ${aborted.at} ms`)
  })
}

test('a response that ends after its timeout is not aborted', async () => {
  const clock = FakeClock.create()
  const deadline = ResponseDeadline.start(clock, { startedAt: 0, timeoutMilliseconds: TIMEOUT_MILLISECONDS, patienceMilliseconds: undefined })
  const control = { forgetConnection: () => {}, pause: () => {}, resume: () => {}, abort: () => assert.unreachable() }
  const response = UpstreamResponse.create(clock, 200, [], { kind: FRAMINGS.chunked, bytes: 0 }, control)
  const endWatch = deadline.watch(response)
  const piped = response.pipeTo(new Sink())
  clock.advance(TIMEOUT_MILLISECONDS - 1)
  response.receive(CHUNK)
  clock.advance(100)
  response.complete([])
  assert.ok((await piped).isOk())
  endWatch()
  clock.advance(5 * TIMEOUT_MILLISECONDS)
})

for (const patienceMilliseconds of [undefined, 400]) {
  test(`a task without a result is aborted at the timeout, or when its caller waits no more (${patienceMilliseconds} ms)`, async () => {
    const clock = FakeClock.create()
    const deadline = ResponseDeadline.start(clock, { startedAt: 0, timeoutMilliseconds: TIMEOUT_MILLISECONDS, patienceMilliseconds })
    let seen: AbortSignal | undefined
    void deadline.untilReady(new AbortController().signal, async (signal) => {
      seen = signal
      await new Promise(() => {})
    })
    const end = patienceMilliseconds ?? TIMEOUT_MILLISECONDS
    clock.advance(end - 1)
    assert.is(seen?.aborted, false)
    clock.advance(1 + READ_MILLISECONDS)
    assert.is((seen?.reason as AttemptFailure).code, 'deadline_over')
  })
}

// Guards against a response that is kept for a retry, or waits to be relayed, and is broken off at the timeout.
test('a task that has a result is aborted by its own signal only', async () => {
  const clock = FakeClock.create()
  const deadline = ResponseDeadline.start(clock, { startedAt: 0, timeoutMilliseconds: TIMEOUT_MILLISECONDS, patienceMilliseconds: undefined })
  const cancellation = new AbortController()
  const signal = await deadline.untilReady(cancellation.signal, async (own) => await Promise.resolve(own))
  clock.advance(2 * TIMEOUT_MILLISECONDS)
  assert.is(signal.aborted, false)
  cancellation.abort(AttemptFailure.create('caller_gone'))
  assert.is(signal.aborted, true)
})

test('a task that begins after the deadline is aborted at once', async () => {
  const clock = FakeClock.create()
  const deadline = ResponseDeadline.start(clock, { startedAt: 0, timeoutMilliseconds: TIMEOUT_MILLISECONDS, patienceMilliseconds: undefined })
  clock.advance(TIMEOUT_MILLISECONDS + READ_MILLISECONDS)
  assert.is(await deadline.untilReady(new AbortController().signal, async ({ aborted }) => await Promise.resolve(aborted)), true)
})

test.run()
