import type { ClaimCopyAsk, ClaimCopyPart, ClaimMessage, ClaimRecord } from '@hickoryspoke/protocol/generated/claim'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { ClaimRecords } from './claim-records.ts'
import type { ClaimSeats, CopyNeed } from './claim-seats.ts'

const RECORDS_PER_PART = 200

interface PendingCopy {
  readonly need: CopyNeed
  readonly records: ClaimRecord[]
  nextPart: number
}

/** Brings the records of other holders to a seat that has none yet, or has forgotten them. */
export class ClaimCopies {
  private readonly pending = new Map<string, PendingCopy>()
  private round = 0

  private constructor (
    private readonly clock: Clock,
    private readonly network: PeerNetwork<ClaimMessage>,
    private readonly seats: ClaimSeats,
    private readonly records: ClaimRecords
  ) {}

  static create (clock: Clock, network: PeerNetwork<ClaimMessage>, seats: ClaimSeats, records: ClaimRecords): ClaimCopies {
    return new ClaimCopies(clock, network, seats, records)
  }

  /** Asks for every copy that is due; answers to earlier asks no longer count. */
  askAgain (): void {
    const needs = this.seats.needs()
    this.pending.clear()
    this.round += 1
    const asks = new Map<string, { from: string, epoch: number, slots: number[] }>()
    for (const need of needs) {
      this.pending.set(nameOf(need), { need, records: [], nextPart: 0 })
      const key = `${need.epoch} ${need.from}`
      const ask = asks.get(key) ?? { from: need.from, epoch: need.epoch, slots: [] }
      ask.slots.push(need.slot)
      asks.set(key, ask)
    }
    for (const { from, epoch, slots } of asks.values()) {
      this.network.send(from, { body: { $case: 'copyAsk', value: { epoch, slots, round: this.round } } })
    }
  }

  /** Gives the records of those slots for which this entry's are complete. */
  receiveAsk (from: string, ask: ClaimCopyAsk): void {
    for (const slot of ask.slots) {
      if (this.seats.canGiveCopy(slot, ask.epoch)) this.give(from, ask, slot)
    }
  }

  /** Takes one part; the copy counts only when all its parts have come in order. */
  receivePart (from: string, part: ClaimCopyPart): void {
    const pending = this.pending.get(nameOf({ from, epoch: part.epoch, slot: part.slot }))
    if (pending === undefined || part.round !== this.round || part.part !== pending.nextPart) return
    pending.nextPart += 1
    pending.records.push(...part.records)
    if (!part.last) return
    this.pending.delete(nameOf(pending.need))
    const now = this.clock.monotonicMilliseconds()
    for (const record of pending.records) this.records.merge(part.slot, record, now)
    this.seats.countCopy(pending.need)
  }

  private give (to: string, ask: ClaimCopyAsk, slot: number): void {
    const all = this.records.copyOf(slot, this.clock.monotonicMilliseconds())
    const parts = Math.max(1, Math.ceil(all.length / RECORDS_PER_PART))
    for (let part = 0; part < parts; part += 1) {
      const records = all.slice(part * RECORDS_PER_PART, (part + 1) * RECORDS_PER_PART)
      const value: ClaimCopyPart = { epoch: ask.epoch, slot, records, part, last: part === parts - 1, round: ask.round }
      this.network.send(to, { body: { $case: 'copyPart', value } })
    }
  }
}

function nameOf (need: CopyNeed): string {
  return `${need.epoch} ${need.slot} ${need.from}`
}
