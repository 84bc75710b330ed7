/** Calls those that wait for a turn of the event loop, a few in each, in the order in which they began to wait. */

/** What a `TurnQueue` calls. */
export interface TurnQueueOptions<Member> {
  /** How many of those that wait are called in one turn. */
  readonly maximumCalls: number
  /** Called at the begin of each turn, before those that waited. */
  readonly onTurn: () => void
  /** Called for each of those that waited. They may wait again. */
  readonly call: (member: Member) => void
}

export class TurnQueue<Member> {
  private readonly waiting = new Set<Member>()
  private isScheduled = false

  private constructor (private readonly options: TurnQueueOptions<Member>) {}

  static create<Member> (options: TurnQueueOptions<Member>): TurnQueue<Member> {
    return new TurnQueue(options)
  }

  /** Number of those that wait. */
  get size (): number {
    return this.waiting.size
  }

  /** Has a member called in a later turn. */
  wait (member: Member): void {
    this.waiting.add(member)
    this.schedule()
  }

  leave (member: Member): void {
    this.waiting.delete(member)
  }

  /** Has the next turn begin although nobody may wait for it. */
  schedule (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    setImmediate(() => this.beginTurn())
  }

  private beginTurn (): void {
    this.isScheduled = false
    this.options.onTurn()
    for (const member of [...this.waiting].slice(0, this.options.maximumCalls)) {
      this.waiting.delete(member)
      this.options.call(member)
    }
    if (this.waiting.size > 0) this.schedule()
  }
}
