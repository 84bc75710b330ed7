const SMOOTHING = 0.02
const INITIAL_ESTIMATE_MILLISECONDS = 20
const MAXIMUM_ROUTES = 10_000

/** Moving average of the latency seen by this entry, by route and over all routes. */
export class MeanLatency {
  private readonly routes = new Map<string, number>()
  private overall = INITIAL_ESTIMATE_MILLISECONDS

  static create (): MeanLatency {
    return new MeanLatency()
  }

  record (route: string, milliseconds: number): void {
    this.overall += (milliseconds - this.overall) * SMOOTHING
    const before = this.routes.get(route)
    if (before === undefined && this.routes.size >= MAXIMUM_ROUTES) return
    this.routes.set(route, before === undefined ? milliseconds : before + (milliseconds - before) * SMOOTHING)
  }

  /** Mean milliseconds for a route, or over all routes if this route has no samples. */
  forRoute (route: string): number {
    return this.routes.get(route) ?? this.overall
  }
}
