import { AttemptKind, type AttemptOutcome } from '@hickoryspoke/health/attempt-outcome'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { RandomSource } from '@hickoryspoke/runtime/random'

const CONNECT_TIMEOUT_MILLISECONDS = 500
const QUEUED_ATTEMPTS_PER_SLOT = 4
const CROSS_ZONE_MILLISECONDS = 1.5
const SAME_ZONE_MILLISECONDS = 0.3

/** An attempt to run a request, as an upstream receives it. */
export interface SimulatedAttempt {
  readonly fromZone: string
  readonly customer: string
  readonly route: string
  readonly sequence: number
  readonly startMilliseconds: number
  readonly timeoutMilliseconds: number
}

/** Effect of a fault on an attempt; an empty object has no effect. */
export interface FaultEffect {
  /** Outcome of the attempt. `Timeout` makes the upstream unreachable: connecting fails after `CONNECT_TIMEOUT_MILLISECONDS`. */
  readonly kind?: AttemptKind
  /** Reports the outcome without any service time. */
  readonly immediate?: boolean
  /** Factor on the service time; with Infinity the upstream never answers. */
  readonly slowdown?: number
}

export type Fault = (attempt: SimulatedAttempt, now: number, random: RandomSource) => FaultEffect

interface QueuedAttempt {
  readonly attempt: SimulatedAttempt
  readonly effect: FaultEffect
  readonly finish: (outcome: AttemptOutcome) => void
}

/** An upstream with slots, a bounded queue and injected faults, in simulated time. */
export class SimulatedUpstream {
  private readonly waiting: QueuedAttempt[] = []
  private busy = 0
  faults: Fault[] = []

  private constructor (
    private readonly clock: Clock,
    private readonly random: RandomSource,
    readonly address: string,
    readonly zone: string,
    readonly slots: number,
    private readonly serviceMilliseconds: number
  ) {}

  static create (clock: Clock, random: RandomSource, address: string, zone: string, slots: number, serviceMilliseconds: number): SimulatedUpstream {
    return new SimulatedUpstream(clock, random, address, zone, slots, serviceMilliseconds)
  }

  /** Running and queued attempts relative to the number of slots. */
  load (): number {
    return (this.busy + this.waiting.length) / this.slots
  }

  /** Runs an attempt and reports its outcome exactly once. */
  run (attempt: SimulatedAttempt, done: (outcome: AttemptOutcome) => void): void {
    const effect = this.faultEffectOn(attempt)
    const network = 2 * (attempt.fromZone === this.zone ? SAME_ZONE_MILLISECONDS : CROSS_ZONE_MILLISECONDS)
    let ended = false
    const finish = (outcome: AttemptOutcome): void => {
      if (ended) return
      ended = true
      done(outcome)
    }
    this.clock.schedule(attempt.timeoutMilliseconds, () => finish(this.outcomeOf(AttemptKind.Timeout, attempt)))
    if (effect.kind === AttemptKind.Timeout) {
      this.clock.schedule(CONNECT_TIMEOUT_MILLISECONDS, () => finish(this.outcomeOf(AttemptKind.ConnectFailed, attempt)))
      return
    }
    const report = (outcome: AttemptOutcome): void => {
      this.clock.schedule(network, () => finish({ ...outcome, milliseconds: outcome.milliseconds + network }))
    }
    if (effect.immediate === true) report(this.outcomeOf(effect.kind ?? AttemptKind.Reset, attempt))
    else this.enqueue({ attempt, effect, finish: report })
  }

  private faultEffectOn (attempt: SimulatedAttempt): FaultEffect {
    const now = this.clock.monotonicMilliseconds()
    return Object.assign({}, ...this.faults.map((fault) => fault(attempt, now, this.random))) as FaultEffect
  }

  private enqueue (work: QueuedAttempt): void {
    if (this.busy < this.slots) this.serve(work)
    else if (this.waiting.length < this.slots * QUEUED_ATTEMPTS_PER_SLOT) this.waiting.push(work)
    else work.finish(this.outcomeOf(AttemptKind.RefusedNotRun, work.attempt))
  }

  private serve (work: QueuedAttempt): void {
    const serviceFactor = -Math.log(1 - this.random.next()) * 0.7 + 0.3
    const milliseconds = this.serviceMilliseconds * serviceFactor * (work.effect.slowdown ?? 1)
    const held = Math.min(milliseconds, work.attempt.timeoutMilliseconds)
    this.busy += 1
    this.clock.schedule(held, () => {
      this.busy -= 1
      if (Number.isFinite(milliseconds)) work.finish(this.outcomeOf(work.effect.kind ?? AttemptKind.Answered, work.attempt))
      const next = this.waiting.shift()
      if (next !== undefined) this.serve(next)
    })
  }

  private outcomeOf (kind: AttemptKind, attempt: SimulatedAttempt): AttemptOutcome {
    return { kind, milliseconds: this.clock.monotonicMilliseconds() - attempt.startMilliseconds }
  }
}
