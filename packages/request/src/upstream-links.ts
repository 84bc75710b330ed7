/** Whether this VM's own network reaches the upstreams: several that fail in turn suggest that the fault is here and not there. */
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Connector, ConnectResult } from './connector.ts'

/** Number of upstreams that fail in turn, without a connection to any other, from which this VM counts as cut off. */
const FAILED_UPSTREAMS_WHEN_CUT_OFF = 2
/** Failures count for this time, as upstreams may also go down one after the other. */
const FAILURE_MEMORY_MILLISECONDS = 5_000

/** Outcomes of the latest connections over this VM's own network. */
export class UpstreamLinks {
  /** Upstreams that could not be reached since the last connection, with the time of the last failure in monotonic milliseconds. */
  private readonly failedAt = new Map<string, number>()
  private wasCutOff = false

  private constructor (private readonly clock: Clock, private readonly logger: Logger) {}

  static create (clock: Clock, logger: Logger): UpstreamLinks {
    return new UpstreamLinks(clock, logger)
  }

  /** Whether upstreams seem to be out of this VM's own reach. */
  get isCutOff (): boolean {
    const oldest = this.clock.monotonicMilliseconds() - FAILURE_MEMORY_MILLISECONDS
    for (const [address, at] of this.failedAt) {
      if (at < oldest) this.failedAt.delete(address)
    }
    return this.failedAt.size >= FAILED_UPSTREAMS_WHEN_CUT_OFF
  }

  /** Records the result of a connection attempt over this VM's own network. */
  record (address: string, result: ConnectResult): void {
    if (result.isOk()) this.failedAt.clear()
    else if (result.error.code !== 'connect_aborted') this.failedAt.set(address, this.clock.monotonicMilliseconds())
    this.logChange(address, result)
  }

  private logChange (address: string, result: ConnectResult): void {
    const { isCutOff } = this
    if (isCutOff === this.wasCutOff) return
    this.wasCutOff = isCutOff
    const reason = result.isErr() ? result.error.code : undefined
    if (isCutOff) this.logger.warn('upstreams out of reach', { address, reason, failed: this.failedAt.size })
    else this.logger.info('upstreams in reach again', { address })
  }
}

/** Connects over this VM's own network and records the results. */
export class LinkedConnector implements Connector {
  private constructor (private readonly connector: Connector, private readonly links: UpstreamLinks) {}

  static create (connector: Connector, links: UpstreamLinks): LinkedConnector {
    return new LinkedConnector(connector, links)
  }

  async connect (address: string, signal: AbortSignal): Promise<ConnectResult> {
    const result = await this.connector.connect(address, signal)
    this.links.record(address, result)
    return result
  }
}
