/** Runs tasks one at a time, in the order of submission. */
export class SerialTasks {
  private last: Promise<void> = Promise.resolve()
  private closed = false

  private constructor (private readonly onError: (thrown: unknown) => void) {}

  /** `onError` receives anything a task throws; later tasks still run. */
  static create (onError: (thrown: unknown) => void): SerialTasks {
    return new SerialTasks(onError)
  }

  /** Resolves when the task has finished, whether or not it succeeded. */
  run (task: () => void | Promise<void>): Promise<void> {
    this.last = this.last.then(() => this.closed ? undefined : task()).catch(this.onError)
    return this.last
  }

  /** Drops tasks that have not started. Resolves when the running task has finished. */
  async close (): Promise<void> {
    this.closed = true
    await this.last
  }
}
