/** A scheduled task that can be cancelled. */
export interface Timer {
  cancel (): void
}

/** Source of time, passed in so that tests can control it. Durations use the monotonic time only. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  monotonicMilliseconds (): number
  /** Milliseconds since the Unix epoch; may step. For records read by people only. */
  wallMilliseconds (): number
  /** Runs a task once after a delay in milliseconds. */
  schedule (delayMilliseconds: number, task: () => void): Timer
}

/** The clock of the machine. */
export class SystemClock implements Clock {
  static create (): SystemClock {
    return new SystemClock()
  }

  monotonicMilliseconds (): number {
    return performance.now()
  }

  wallMilliseconds (): number {
    return Date.now()
  }

  schedule (delayMilliseconds: number, task: () => void): Timer {
    const handle = setTimeout(task, delayMilliseconds)
    return { cancel: () => clearTimeout(handle) }
  }
}

/** Resolves after a delay in milliseconds, or at once when the signal aborts. */
export function sleep (clock: Clock, delayMilliseconds: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve()
      return
    }
    const finish = (): void => {
      signal?.removeEventListener('abort', stop)
      resolve()
    }
    const timer = clock.schedule(delayMilliseconds, finish)
    const stop = (): void => {
      timer.cancel()
      finish()
    }
    signal?.addEventListener('abort', stop, { once: true })
  })
}

/** Runs a task again and again, `intervalMilliseconds` after the last run ended, until the signal aborts. */
export async function repeatEvery (
  clock: Clock,
  intervalMilliseconds: number,
  signal: AbortSignal,
  task: () => void | Promise<void>
): Promise<void> {
  while (!signal.aborted) {
    await sleep(clock, intervalMilliseconds, signal)
    if (signal.aborted) return
    await task()
  }
}
