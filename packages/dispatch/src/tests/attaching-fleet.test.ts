/** Load: hundreds of entries attach at once to a leader whose processor needs seconds for all of them. */
import { EventEmitter } from 'node:events'
import type { DispatchMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { DispatchCall } from '../client-session.ts'
import { BusyProcess } from './busy-process.ts'
import { createLeadingService, emptyHello } from './fixture.ts'

const ENTRIES = 300
/** Time of the leader's processor for each entry that it attaches, and for each connection that it accepts. */
const ATTACH_MILLISECONDS = 10
const ACCEPT_MILLISECONDS = 1
/** An entry gives up a leader that does not accept its connection after this time, doubled each time up to the longest. */
const ACCEPT_TIMEOUT_MILLISECONDS = 500
const MAXIMUM_ACCEPT_TIMEOUT_MILLISECONDS = 2_000
/** An entry that was accepted gives up after this time without a message. */
const SILENCE_TIMEOUT_MILLISECONDS = 2_500
const RETRY_MILLISECONDS = 300
/** The fleet has 12 s from its start until its callers come; processes start and elect a leader within 3 s of it. */
const READY_MILLISECONDS = 9_000

/** An entry that tries to attach, as the leader's kernel and process see it. */
class AttachingEntry {
  isAttached = false
  private attempts = 0
  private attempt = { isGivenUp: false, call: undefined as EventEmitter | undefined, heardAt: 0 }

  constructor (private readonly name: string, private readonly leader: BusyProcess, private readonly backlog: Array<() => void>) {}

  /** Opens a connection, which waits in the backlog until the process accepts it. */
  connect (): void {
    const attempt = { isGivenUp: false, call: undefined as EventEmitter | undefined, heardAt: this.leader.monotonicMilliseconds() }
    this.attempt = attempt
    const patience = Math.min(MAXIMUM_ACCEPT_TIMEOUT_MILLISECONDS, ACCEPT_TIMEOUT_MILLISECONDS * 2 ** this.attempts)
    this.attempts += 1
    this.backlog.push(() => this.accept(attempt))
    this.leader.schedule(patience, () => { if (attempt.call === undefined) this.giveUp(attempt) })
  }

  private accept (attempt: typeof this.attempt): void {
    const write = ({ body }: DispatchMessage): void => {
      attempt.heardAt = this.leader.monotonicMilliseconds()
      if (body?.$case !== 'leader' || !body.value.serving) return
      this.leader.work(ATTACH_MILLISECONDS)
      if (!attempt.isGivenUp) this.isAttached = true
    }
    const call = Object.assign(new EventEmitter(), { write, end: () => {}, destroy: () => {}, getAuthContext: () => ({}) })
    attempt.call = call
    attempt.heardAt = this.leader.monotonicMilliseconds()
    accepted(call as unknown as DispatchCall)
    call.emit('data', emptyHello(this.name))
    // The end of a connection whose client has left is read in the turn after its bytes.
    if (attempt.isGivenUp) this.leader.schedule(1, () => call.emit('end'))
    else this.watch(attempt)
  }

  private watch (attempt: typeof this.attempt): void {
    this.leader.schedule(50, () => {
      if (this.isAttached || attempt.isGivenUp) return
      if (this.leader.monotonicMilliseconds() - attempt.heardAt < SILENCE_TIMEOUT_MILLISECONDS) return this.watch(attempt)
      attempt.call?.emit('end')
      this.giveUp(attempt)
    })
  }

  private giveUp (attempt: typeof this.attempt): void {
    attempt.isGivenUp = true
    this.leader.schedule(RETRY_MILLISECONDS, () => this.connect())
  }
}

let accepted: (call: DispatchCall) => void = () => {}

// Guards against a leader that attaches only clients which have given up, so that an overload never ends (SHORT).
test('hundreds of entries that come at once are attached before their callers come', async () => {
  const leader = BusyProcess.create()
  const service = createLeadingService(leader)
  accepted = service.handlers().attend as unknown as typeof accepted
  const backlog: Array<() => void> = []
  // The event loop accepts one connection in a turn.
  const acceptOne = (): void => {
    const accept = backlog.shift()
    if (accept !== undefined) {
      accept()
      leader.work(ACCEPT_MILLISECONDS)
    }
    leader.schedule(1, acceptOne)
  }
  leader.schedule(1, acceptOne)
  const entries = Array.from({ length: ENTRIES }, (_, index) => new AttachingEntry(`entry-${index}`, leader, backlog))
  entries.forEach((entry, index) => leader.schedule(index, () => entry.connect()))
  await leader.run(READY_MILLISECONDS)
  const missing = entries.filter(({ isAttached }) => !isAttached)
  assert.is(missing.length, 0, `${missing.length} entries are not attached`)
})

test.run()
