/** Runs tasks one after the other, in the order in which they came. */
export class SerialTasks {
  private last: Promise<void> = Promise.resolve()
  private closed = false

  private constructor (private readonly onError: (thrown: unknown) => void) {}

  /** `onError` gets whatever a task throws; later tasks still run. */
  static create (onError: (thrown: unknown) => void): SerialTasks {
    return new SerialTasks(onError)
  }

  /** Resolves when the task has ended, well or badly. */
  run (task: () => void | Promise<void>): Promise<void> {
    this.last = this.last.then(() => this.closed ? undefined : task()).catch(this.onError)
    return this.last
  }

  /** Drops tasks that have not begun; resolves when the one under way has ended. */
  async close (): Promise<void> {
    this.closed = true
    await this.last
  }
}
