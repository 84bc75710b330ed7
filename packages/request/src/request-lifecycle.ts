import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import { createMachine, interpret, state, transition, type Service } from 'robot3'

/** Phases of a request runner. */
export const RUNNER_PHASES = { serving: 'serving', draining: 'draining', stopped: 'stopped' } as const
export type RunnerPhase = typeof RUNNER_PHASES[keyof typeof RUNNER_PHASES]

/** Result of a drain: the number of requests that finished in time, and the identifiers of those that were aborted. */
export interface DrainReport {
  readonly finished: number
  readonly lost: readonly string[]
}

const DRAIN_CHECK_MILLISECONDS = 10

const machine = (): ReturnType<typeof createRunnerMachine> => createRunnerMachine()

function createRunnerMachine () {
  return createMachine({
    serving: state(transition('drain', 'draining')),
    draining: state(transition('stop', 'stopped')),
    stopped: state()
  })
}

/** Tracks the requests in flight and the phase of the runner. */
export class RequestLifecycle {
  private readonly inFlight = new Map<string, () => void>()
  private readonly service: Service<ReturnType<typeof createRunnerMachine>>

  private constructor (private readonly clock: Clock) {
    this.service = interpret(machine(), () => {})
  }

  static create (clock: Clock): RequestLifecycle {
    return new RequestLifecycle(clock)
  }

  get phase (): RunnerPhase {
    return this.service.machine.current as RunnerPhase
  }

  /** Identifiers of the requests in flight. */
  get running (): string[] {
    return [...this.inFlight.keys()]
  }

  /** Registers a request. `abort` is called if the request is still in flight when a drain reaches its time limit. */
  begin (requestId: string, abort: () => void): void {
    this.inFlight.set(requestId, abort)
  }

  end (requestId: string): void {
    this.inFlight.delete(requestId)
  }

  /** Leaves the serving phase and waits for the requests in flight. Those that exceed the limit are aborted. */
  async drain (limitMilliseconds: number): Promise<DrainReport> {
    this.service.send('drain')
    const atStart = this.inFlight.size
    const stopWaiting = new AbortController()
    const timer = this.clock.schedule(limitMilliseconds, () => stopWaiting.abort())
    const drained = repeatEvery(this.clock, DRAIN_CHECK_MILLISECONDS, stopWaiting.signal, () => {
      if (this.inFlight.size === 0) stopWaiting.abort()
    })
    if (atStart === 0) stopWaiting.abort()
    await drained
    timer.cancel()
    const lost = this.running
    for (const abort of this.inFlight.values()) abort()
    this.service.send('stop')
    return { finished: atStart - lost.length, lost }
  }
}
