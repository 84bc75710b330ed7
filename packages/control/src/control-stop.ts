/** Stops a control process without cutting off the calls of operators and upstreams. */
import type { DrainableServer } from '@hickoryspoke/runtime/drainable-server'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { DispatchingControl } from './dispatching-control.ts'

/** How long calls in progress may take once leadership has been handed over. */
const CALLS_MILLISECONDS = 2_000

/** Hands leadership over while calls are still taken, so that they are redirected to the next leader, then drains the calls. */
export async function stopControl (control: DispatchingControl, calls: DrainableServer, logger: Logger): Promise<void> {
  await control.stop()
  const cutOff = await calls.drain(CALLS_MILLISECONDS)
  if (cutOff > 0) logger.warn('calls cut off by a stop', { connections: cutOff })
}

/** Describes the unfinished work of a stop for the log. */
export function unfinishedControl (control: DispatchingControl, calls: DrainableServer): string {
  return `${control.unfinished()}, connections with calls: ${calls.busyConnections}`
}
