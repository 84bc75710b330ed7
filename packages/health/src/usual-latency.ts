const SMOOTHING = 0.02
const FIRST_GUESS_MILLISECONDS = 20
const MAXIMUM_ROUTES = 10_000

/** Mean latency that this entry saw lately, by route and over all of them. */
export class UsualLatency {
  private readonly routes = new Map<string, number>()
  private overall = FIRST_GUESS_MILLISECONDS

  static create (): UsualLatency {
    return new UsualLatency()
  }

  record (route: string, milliseconds: number): void {
    this.overall += (milliseconds - this.overall) * SMOOTHING
    const before = this.routes.get(route)
    if (before === undefined && this.routes.size >= MAXIMUM_ROUTES) return
    this.routes.set(route, before === undefined ? milliseconds : before + (milliseconds - before) * SMOOTHING)
  }

  /** Milliseconds for a route, or over all routes where it is not known. */
  of (route: string): number {
    return this.routes.get(route) ?? this.overall
  }
}
