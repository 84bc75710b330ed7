import { DirectConnector, type Connector } from '@hickoryspoke/request/connector'
import { SystemClock } from '@hickoryspoke/runtime/clock'

const CONNECT_TIMEOUT_MILLISECONDS = 400

/** Connects, but holds back connections to one upstream until it is released. */
export class HoldingConnector implements Connector {
  heldAddress = ''
  isHolding = false
  private release = (): void => {}
  private readonly released = new Promise<void>((resolve) => { this.release = resolve })
  private readonly direct = DirectConnector.create(SystemClock.create(), CONNECT_TIMEOUT_MILLISECONDS)

  static create (): HoldingConnector {
    return new HoldingConnector()
  }

  async connect (...[address, signal]: Parameters<Connector['connect']>): ReturnType<Connector['connect']> {
    if (address === this.heldAddress) {
      this.isHolding = true
      await this.released
    }
    return await this.direct.connect(address, signal)
  }

  releaseAll (): void {
    this.release()
  }
}
