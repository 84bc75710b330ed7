/** What is learned of one upstream: how fast it is and what it has left to do. */
import { nearlyFullShare, ResidualWork, type RunningWork } from './residual-work.ts'
import { UpstreamSpeed, type PoolSlowdown } from './upstream-speed.ts'

/** Speed and running requests of one upstream. */
export class UpstreamWork {
  readonly residual = ResidualWork.create()
  readonly speed: UpstreamSpeed
  /** The latest result of `fullShare`, which the choice and the placement ask for. */
  private latest = { inFlight: 0, meanMilliseconds: 0, now: -Infinity, share: 0 }

  private constructor (slowdown: PoolSlowdown) {
    this.speed = UpstreamSpeed.create(slowdown)
  }

  static create (slowdown: PoolSlowdown): UpstreamWork {
    return new UpstreamWork(slowdown)
  }

  /** Share of the time of a further request in which the upstream will be nearly full; `inFlight` counts it. */
  fullShare (inFlight: number, slots: number, meanMilliseconds: number, now: number): number {
    const { latest } = this
    if (latest.now === now && latest.inFlight === inFlight && latest.meanMilliseconds === meanMilliseconds) return latest.share
    const share = nearlyFullShare(this.residual, inFlight, slots, meanMilliseconds, this.speed.factor(0, now), now)
    this.latest = { inFlight, meanMilliseconds, now, share }
    return share
  }

  /** Learns from the end of a running request. Only a complete, successful response may be passed. */
  learn ({ estimate, fullShare }: RunningWork, milliseconds: number, now: number): void {
    this.speed.record(Math.log(Math.max(1, milliseconds)) - estimate.meanLogarithm, fullShare, now)
  }
}
