/** Handle of a scheduled task. */
export interface Timer {
  cancel (): void
}

/** Time source, injected so that tests can control it. Durations are measured on the monotonic clock only. */
export interface Clock {
  /** Milliseconds since an arbitrary origin; never decreases. */
  monotonicMilliseconds (): number
  /** Milliseconds since the Unix epoch. May jump when the system time is adjusted, so it is only for display and logs. */
  wallMilliseconds (): number
  /** Runs a task once after a delay. */
  schedule (delayMilliseconds: number, task: () => void): Timer
}

/** Clock of the operating system. */
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

/** Resolves after a delay, or as soon as the signal aborts. Never rejects. */
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

/** Runs a task repeatedly until the signal aborts, waiting `intervalMilliseconds` before each run. Runs never overlap. */
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
