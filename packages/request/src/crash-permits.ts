import type { CrashAsk, CrashMessage, CrashTrialEnd } from '@hickoryspoke/protocol/generated/crash'
import type { Clock, Timer } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'

interface WaitingAsk {
  readonly from: string
  readonly nonce: number
}

interface IncidentQueue {
  readonly waiting: WaitingAsk[]
  running: number
  timer: Timer
}

/** Lets the suspected requests of one incident run one at a time, so that a further crash can be attributed to one of them. */
export class CrashPermits {
  private readonly lines = new Map<string, IncidentQueue>()

  private constructor (private readonly clock: Clock, private readonly network: PeerNetwork<CrashMessage>, private readonly permitMilliseconds: number) {}

  static create (clock: Clock, network: PeerNetwork<CrashMessage>, permitMilliseconds: number): CrashPermits {
    return new CrashPermits(clock, network, permitMilliseconds)
  }

  /** Grants a permit now, or once the earlier ones of the incident have been returned. */
  receiveAsk (from: string, ask: CrashAsk): void {
    const line = this.lines.get(ask.incident)
    if (line === undefined) this.grant(ask.incident, [], { from, nonce: ask.nonce })
    else line.waiting.push({ from, nonce: ask.nonce })
  }

  /** Takes back a permit or cancels a waiting request for one. */
  receiveEnd (end: CrashTrialEnd): void {
    const line = this.lines.get(end.incident)
    if (line === undefined) return
    if (line.running === end.nonce) {
      this.grantNext(end.incident, line)
      return
    }
    const place = line.waiting.findIndex((ask) => ask.nonce === end.nonce)
    if (place !== -1) line.waiting.splice(place, 1)
  }

  private grant (incident: string, waiting: WaitingAsk[], ask: WaitingAsk): void {
    const timer = this.clock.schedule(this.permitMilliseconds, () => this.receiveEnd({ incident, nonce: ask.nonce }))
    this.lines.set(incident, { waiting, running: ask.nonce, timer })
    this.network.send(ask.from, { body: { $case: 'reply', value: { nonce: ask.nonce } } })
  }

  private grantNext (incident: string, line: IncidentQueue): void {
    line.timer.cancel()
    const ask = line.waiting.shift()
    if (ask === undefined) this.lines.delete(incident)
    else this.grant(incident, line.waiting, ask)
  }
}
