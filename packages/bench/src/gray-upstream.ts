/** An upstream with slots and a bounded queue that fails most of its requests during random episodes, in simulated time. */
import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { RandomSource } from '@hickoryspoke/runtime/random'

/** How often, how long and how an upstream fails. */
export interface GrayFailureConfig {
  /** Mean time between the end of an episode and the start of the next; the times are exponentially distributed. */
  readonly healthyMilliseconds: number
  /** Mean length of an episode; the lengths lie between half and one and a half of it. */
  readonly episodeMilliseconds: number
  /** Share of the requests that fail during an episode, from 0 to 1. */
  readonly failureShare: number
  /** Outcome of the requests that fail. */
  readonly outcome: PlacementOutcome
}

interface Job {
  readonly workMilliseconds: number
  readonly expiresAt: number
  readonly finish: (outcome: PlacementOutcome) => void
  isFinished: boolean
}

const FAILURE_MILLISECONDS = 5
const QUEUE_LENGTH = 16

export class GrayUpstream {
  private readonly queue: Job[] = []
  private readonly episodeStarts: number[] = []
  private runningJobs = 0
  private failing = false

  private constructor (
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly slots: number,
    private readonly config: GrayFailureConfig
  ) {
    this.scheduleEpisode()
  }

  static create (clock: Clock, random: RandomSource, slots: number, config: GrayFailureConfig): GrayUpstream {
    return new GrayUpstream(clock, random, slots, config)
  }

  /** Number of episodes that started before the given time. */
  episodesBefore (milliseconds: number): number {
    return this.episodeStarts.filter((at) => at < milliseconds).length
  }

  /** Queues a request, or fails it if an episode or a full queue says so. */
  handle (workMilliseconds: number, patienceMilliseconds: number, finish: (outcome: PlacementOutcome) => void): void {
    if (this.failing && this.random.next() < this.config.failureShare) {
      this.clock.schedule(FAILURE_MILLISECONDS, () => finish(this.config.outcome))
      return
    }
    if (this.queue.length >= QUEUE_LENGTH) {
      finish(PlacementOutcome.PLACEMENT_OUTCOME_REFUSED)
      return
    }
    const job: Job = { workMilliseconds, expiresAt: this.clock.monotonicMilliseconds() + patienceMilliseconds, finish, isFinished: false }
    this.queue.push(job)
    this.clock.schedule(patienceMilliseconds, () => this.end(job, PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT))
    this.startNext()
  }

  private startNext (): void {
    while (this.runningJobs < this.slots && this.queue.length > 0) {
      const job = this.queue.shift() as Job
      if (job.isFinished) continue
      this.runningJobs += 1
      const milliseconds = Math.min(job.workMilliseconds, job.expiresAt - this.clock.monotonicMilliseconds())
      this.clock.schedule(milliseconds, () => {
        this.runningJobs -= 1
        if (job.workMilliseconds <= milliseconds) this.end(job, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED)
        this.startNext()
      })
    }
  }

  private end (job: Job, outcome: PlacementOutcome): void {
    if (job.isFinished) return
    job.isFinished = true
    job.finish(outcome)
  }

  private scheduleEpisode (): void {
    this.clock.schedule(this.nextExponential(this.config.healthyMilliseconds), () => {
      this.failing = true
      this.episodeStarts.push(this.clock.monotonicMilliseconds())
      this.clock.schedule(this.config.episodeMilliseconds * (0.5 + this.random.next()), () => {
        this.failing = false
        this.scheduleEpisode()
      })
    })
  }

  private nextExponential (mean: number): number {
    return -Math.log(1 - this.random.next()) * mean
  }
}
