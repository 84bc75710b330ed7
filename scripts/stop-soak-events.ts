/** Carries out the schedule of a stop soak on its processes. */
import { delay } from './process-fleet.ts'
import { publishVersion } from './stop-soak-control-calls.ts'
import { hasEnded, type SoakFleet, type SoakProcess } from './stop-soak-fleet.ts'
import { ProcessEventKind } from './stop-soak-records.ts'
import type { FreezeEvent, KillEvent, PublishEvent, ScheduledEvent, StopEvent } from './stop-soak-schedule.ts'
import { GRACE_MILLISECONDS } from './stop-soak-settings.ts'

const PUBLISH_LIMIT_MILLISECONDS = 3_000
const KILL_LIMIT_MILLISECONDS = 10_000

type EventHandlers = { readonly [Kind in ScheduledEvent['kind']]: (event: Extract<ScheduledEvent, { kind: Kind }>) => Promise<void> }

/** What the schedule is carried out on. */
export interface EventRunnerOptions {
  readonly fleet: SoakFleet
  readonly allowanceMilliseconds: number
  /** Milliseconds since the start of the schedule. */
  readonly now: () => number
}

export class EventRunner {
  /** Processes that are being stopped or are not back yet; a further stop passes over them. */
  private readonly busy = new Set<string>()
  private readonly handlers: EventHandlers = {
    stop: async (event) => await this.stop(event),
    kill: async (event) => await this.kill(event),
    freeze: async (event) => await this.freeze(event),
    publish: async (event) => await this.publish(event)
  }

  private readonly fleet: SoakFleet

  private constructor (private readonly options: EventRunnerOptions) {
    this.fleet = options.fleet
  }

  static create (options: EventRunnerOptions): EventRunner {
    return new EventRunner(options)
  }

  /** Runs all events at their times; resolves when all of them are over. */
  async run (schedule: readonly ScheduledEvent[]): Promise<void> {
    const running: Promise<void>[] = []
    for (const event of schedule) {
      await delay(Math.max(0, event.at - this.options.now()))
      const handler = this.handlers[event.kind] as (event: ScheduledEvent) => Promise<void>
      running.push(handler(event))
    }
    await Promise.all(running)
  }

  private async stop ({ target, lead, signals, freeze, pause }: StopEvent): Promise<void> {
    const process = this.fleet.find(target)
    if (this.busy.has(process.name)) return
    this.busy.add(process.name)
    if (freeze !== undefined) setTimeout(() => { void this.freezeFor(process, freeze.length) }, freeze.after)
    await delay(lead)
    this.fleet.signal(process, ProcessEventKind.Signal, 'SIGTERM')
    const timers = signals.map(({ after, signal }) => setTimeout(() => this.fleet.signal(process, ProcessEventKind.Signal, signal), after))
    if (!await this.fleet.waitForEnd(process, GRACE_MILLISECONDS + this.options.allowanceMilliseconds)) {
      this.fleet.signal(process, ProcessEventKind.GraceOver, 'SIGKILL')
      await this.fleet.waitForEnd(process, KILL_LIMIT_MILLISECONDS)
    }
    for (const timer of timers) clearTimeout(timer)
    await this.bringBack(process, pause)
  }

  private async kill ({ target, pause }: KillEvent): Promise<void> {
    const process = this.fleet.find(target)
    if (this.busy.has(process.name)) return
    this.busy.add(process.name)
    this.fleet.signal(process, ProcessEventKind.Killed, 'SIGKILL')
    await this.fleet.waitForEnd(process, KILL_LIMIT_MILLISECONDS)
    await this.bringBack(process, pause)
  }

  private async bringBack (process: SoakProcess, pause: number): Promise<void> {
    await delay(pause)
    await this.fleet.restart(process)
    if (process.role === 'front') await this.fleet.waitUntilReady(process)
    this.busy.delete(process.name)
  }

  private async freeze ({ target, length }: FreezeEvent): Promise<void> {
    const process = this.fleet.find(target)
    if (this.busy.has(process.name)) return
    this.busy.add(process.name)
    await this.freezeFor(process, length)
    this.busy.delete(process.name)
  }

  private async freezeFor (process: SoakProcess, length: number): Promise<void> {
    const { child } = process
    if (hasEnded(child)) return
    this.fleet.signal(process, ProcessEventKind.Frozen, 'SIGSTOP')
    await delay(length)
    if (process.child === child) this.fleet.signal(process, ProcessEventKind.Resumed, 'SIGCONT')
  }

  private async publish ({ version }: PublishEvent): Promise<void> {
    await publishVersion(this.fleet.controlAddresses, version, PUBLISH_LIMIT_MILLISECONDS)
  }
}
