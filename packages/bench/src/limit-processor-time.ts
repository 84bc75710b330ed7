import { FleetLimiter } from '@hickoryspoke/limits/fleet-limiter'
import { ShareMessage } from '@hickoryspoke/protocol/generated/share'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'

const WARM_UP_STEPS = 400
const STEP_MILLISECONDS = 10
const BATCH_SIZE = 50
const NEVER_EXPIRES = Number.MAX_SAFE_INTEGER

interface Delivery {
  readonly from: string
  readonly to: string
  readonly bytes: Uint8Array
}

/** Limiters of a fleet whose messages are encoded, queued and decoded directly, without a simulated network. */
class DirectFleet {
  readonly clock = FakeClock.create()
  private readonly limiters = new Map<string, FleetLimiter>()
  private queue: Delivery[] = []

  constructor (readonly names: readonly string[]) {
    const epochLease = { epoch: () => 1, validUntilMilliseconds: () => NEVER_EXPIRES, exclusiveFromMilliseconds: () => 0 }
    const entries = names.map((name, index) => ({ name, zone: `zone-${index % 3}`, region: 'region', peerAddress: '', witness: true }))
    names.forEach((name, index) => {
      const send = (to: string, message: ShareMessage): void => { this.queue.push({ from: name, to, bytes: ShareMessage.encode(message).finish() }) }
      const limiter = FleetLimiter.create({ network: { self: name, send }, clock: this.clock, random: SeededRandom.create(index + 1), epochLease })
      limiter.applyMembership({ epoch: 1, entries, establishedEpoch: 1 })
      this.limiters.set(name, limiter)
    })
  }

  limiter (name: string): FleetLimiter {
    return this.limiters.get(name) as FleetLimiter
  }

  /** Delivers messages until the queue is empty. Pending promises settle between two batches. */
  async deliver (): Promise<void> {
    while (this.queue.length > 0) {
      const batch = this.queue
      this.queue = []
      for (const { from, to, bytes } of batch) this.limiters.get(to)?.receive(from, ShareMessage.decode(bytes))
      await Promise.resolve()
    }
  }

  async step (): Promise<void> {
    await this.clock.advanceAsync(STEP_MILLISECONDS)
    await this.deliver()
  }
}

/**
 * Measures the processor time of one decision in microseconds: the asking entry, the holder and the recording member together,
 * including the encoding of messages.
 */
export async function measureProcessorTime (entries: number, customers: number, decisions: number): Promise<number> {
  const fleet = new DirectFleet(Array.from({ length: entries }, (_, index) => `entry-${index}`))
  const rates = Array.from({ length: customers }, (_, index) => ({ name: `customer-${index}`, rate: 1000, burst: 400 }))
  for (const name of fleet.names) fleet.limiter(name).applyCustomers(rates)
  for (let count = 0; count < WARM_UP_STEPS; count += 1) await fleet.step()
  let microseconds = 0
  for (let done = 0; done < decisions; done += BATCH_SIZE) {
    const before = process.cpuUsage()
    await decideBatch(fleet, done, customers)
    const used = process.cpuUsage(before)
    microseconds += used.user + used.system
    await fleet.step()
  }
  return microseconds / decisions
}

async function decideBatch (fleet: DirectFleet, first: number, customers: number): Promise<void> {
  const pending = Array.from({ length: BATCH_SIZE }, (_, index) => {
    const place = first + index
    return fleet.limiter(fleet.names[place % fleet.names.length] as string).admit(`customer-${place * 7919 % customers}`)
  })
  await fleet.deliver()
  await Promise.all(pending)
}
