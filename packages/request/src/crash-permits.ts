import type { CrashAsk, CrashMessage, CrashTrialEnd } from '@hickoryspoke/protocol/generated/crash'
import type { Clock, Timer } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'

interface WaitingAsk {
  readonly from: string
  readonly nonce: number
}

interface IncidentLine {
  readonly waiting: WaitingAsk[]
  running: number
  timer: Timer
}

/** Lets the suspects of one incident run one after another, so that it shows which of them does the harm. */
export class CrashPermits {
  private readonly lines = new Map<string, IncidentLine>()

  private constructor (private readonly clock: Clock, private readonly network: PeerNetwork<CrashMessage>, private readonly permitMilliseconds: number) {}

  static create (clock: Clock, network: PeerNetwork<CrashMessage>, permitMilliseconds: number): CrashPermits {
    return new CrashPermits(clock, network, permitMilliseconds)
  }

  /** Allows the run now, or when those before it are over. */
  receiveAsk (from: string, ask: CrashAsk): void {
    const line = this.lines.get(ask.incident)
    if (line === undefined) this.allow(ask.incident, [], { from, nonce: ask.nonce })
    else line.waiting.push({ from, nonce: ask.nonce })
  }

  /** A run is over, or an ask no longer waits. */
  receiveEnd (end: CrashTrialEnd): void {
    const line = this.lines.get(end.incident)
    if (line === undefined) return
    if (line.running === end.nonce) {
      this.next(end.incident, line)
      return
    }
    const place = line.waiting.findIndex((ask) => ask.nonce === end.nonce)
    if (place !== -1) line.waiting.splice(place, 1)
  }

  private allow (incident: string, waiting: WaitingAsk[], ask: WaitingAsk): void {
    const timer = this.clock.schedule(this.permitMilliseconds, () => this.receiveEnd({ incident, nonce: ask.nonce }))
    this.lines.set(incident, { waiting, running: ask.nonce, timer })
    this.network.send(ask.from, { body: { $case: 'reply', value: { nonce: ask.nonce } } })
  }

  private next (incident: string, line: IncidentLine): void {
    line.timer.cancel()
    const ask = line.waiting.shift()
    if (ask === undefined) this.lines.delete(incident)
    else this.allow(incident, line.waiting, ask)
  }
}
