import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import { createMachine, interpret, state, transition, type Service } from 'robot3'

/** Phases of the runner of requests. */
export const RUNNER_PHASES = { serving: 'serving', draining: 'draining', stopped: 'stopped' } as const
export type RunnerPhase = typeof RUNNER_PHASES[keyof typeof RUNNER_PHASES]

/** What a drain came to: requests that ended within the limit, and those that were cut off. */
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

/** Which requests are in flight, and whether new ones may begin. */
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

  /** Enters a request; `cutOff` ends it at once when a drain runs out of time. */
  begin (requestId: string, cutOff: () => void): void {
    this.inFlight.set(requestId, cutOff)
  }

  end (requestId: string): void {
    this.inFlight.delete(requestId)
  }

  /** Takes no more requests and waits for those in flight, at most `limitMilliseconds`. */
  async drain (limitMilliseconds: number): Promise<DrainReport> {
    this.service.send('drain')
    const atStart = this.inFlight.size
    const over = new AbortController()
    const timer = this.clock.schedule(limitMilliseconds, () => over.abort())
    const watch = repeatEvery(this.clock, DRAIN_CHECK_MILLISECONDS, over.signal, () => {
      if (this.inFlight.size === 0) over.abort()
    })
    if (atStart === 0) over.abort()
    await watch
    timer.cancel()
    const lost = this.running
    for (const cutOff of this.inFlight.values()) cutOff()
    this.service.send('stop')
    return { finished: atStart - lost.length, lost }
  }
}
