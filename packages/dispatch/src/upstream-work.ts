/** What is learned of one upstream: how fast it is and what it has left to do. */
import { nearlyFullShare, ResidualWork, type RunningWork } from './residual-work.ts'
import { UpstreamSpeed, type PoolSlowdown } from './upstream-speed.ts'

/** Speed and running requests of one upstream. */
export class UpstreamWork {
  readonly residual = ResidualWork.create()
  readonly speed: UpstreamSpeed

  private constructor (slowdown: PoolSlowdown) {
    this.speed = UpstreamSpeed.create(slowdown)
  }

  static create (slowdown: PoolSlowdown): UpstreamWork {
    return new UpstreamWork(slowdown)
  }

  /** Share of the time of a further request in which the upstream will be nearly full; `inFlight` counts it. */
  fullShare (inFlight: number, slots: number, meanMilliseconds: number, now: number): number {
    return nearlyFullShare(this.residual, inFlight, slots, meanMilliseconds, this.speed.factor(0, now), now)
  }

  /** Learns from the end of a running request. Only a complete, successful response may be passed. */
  learn ({ estimate, fullShare }: RunningWork, milliseconds: number, now: number): void {
    this.speed.record(Math.log(Math.max(1, milliseconds)) - estimate.meanLogarithm, fullShare, now)
  }
}
