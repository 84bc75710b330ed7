/** An upstream with slots and a queue that has episodes in which it breaks most of what it gets, in simulated time. */
import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { RandomSource } from '@hickoryspoke/runtime/random'

/** Episodes of an upstream. Times in milliseconds. */
export interface GrayPlan {
  /** Mean time between two episodes. */
  readonly soundMilliseconds: number
  readonly episodeMilliseconds: number
  /** Part of the requests that it fails during an episode. */
  readonly failingShare: number
  /** How it fails them. */
  readonly outcome: PlacementOutcome
}

interface Job {
  readonly workMilliseconds: number
  readonly expiresAt: number
  readonly finish: (outcome: PlacementOutcome) => void
  isOver: boolean
}

const FAILURE_MILLISECONDS = 5
const QUEUE_LENGTH = 16

/** One upstream. */
export class GrayUpstream {
  private readonly queue: Job[] = []
  private readonly onsets: number[] = []
  private runningJobs = 0
  private failing = false

  private constructor (private readonly clock: Clock, private readonly random: RandomSource, private readonly slots: number, private readonly plan: GrayPlan) {
    this.awaitEpisode()
  }

  static create (clock: Clock, random: RandomSource, slots: number, plan: GrayPlan): GrayUpstream {
    return new GrayUpstream(clock, random, slots, plan)
  }

  /** Episodes that began before a time. */
  episodesBefore (milliseconds: number): number {
    return this.onsets.filter((at) => at < milliseconds).length
  }

  /** Works on a request, or fails it. */
  take (workMilliseconds: number, patienceMilliseconds: number, finish: (outcome: PlacementOutcome) => void): void {
    if (this.failing && this.random.next() < this.plan.failingShare) {
      this.clock.schedule(FAILURE_MILLISECONDS, () => finish(this.plan.outcome))
      return
    }
    if (this.queue.length >= QUEUE_LENGTH) {
      finish(PlacementOutcome.PLACEMENT_OUTCOME_REFUSED)
      return
    }
    const job: Job = { workMilliseconds, expiresAt: this.clock.monotonicMilliseconds() + patienceMilliseconds, finish, isOver: false }
    this.queue.push(job)
    this.clock.schedule(patienceMilliseconds, () => this.end(job, PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT))
    this.startNext()
  }

  private startNext (): void {
    while (this.runningJobs < this.slots && this.queue.length > 0) {
      const job = this.queue.shift() as Job
      if (job.isOver) continue
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
    if (job.isOver) return
    job.isOver = true
    job.finish(outcome)
  }

  private awaitEpisode (): void {
    this.clock.schedule(this.spread(this.plan.soundMilliseconds), () => {
      this.failing = true
      this.onsets.push(this.clock.monotonicMilliseconds())
      this.clock.schedule(this.plan.episodeMilliseconds * (0.5 + this.random.next()), () => {
        this.failing = false
        this.awaitEpisode()
      })
    })
  }

  private spread (mean: number): number {
    return -Math.log(1 - this.random.next()) * mean
  }
}
