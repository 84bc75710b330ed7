import type { ClaimCopyAsk, ClaimCopyPart, ClaimMessage, ClaimRecord } from '@hickoryspoke/protocol/generated/claim'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { ClaimGroupMemberships, RequiredCopy } from './claim-group-memberships.ts'
import type { ClaimRecords } from './claim-records.ts'

const RECORDS_PER_PART = 200

interface PendingCopy {
  readonly copy: RequiredCopy
  readonly records: ClaimRecord[]
  nextPart: number
}

/** Copies claim records from other holders to a member that is new in its group or lost its records in a restart. */
export class ClaimRecordCopier {
  private readonly pending = new Map<string, PendingCopy>()
  private round = 0

  private constructor (
    private readonly clock: Clock,
    private readonly network: PeerNetwork<ClaimMessage>,
    private readonly memberships: ClaimGroupMemberships,
    private readonly records: ClaimRecords
  ) {}

  static create (clock: Clock, network: PeerNetwork<ClaimMessage>, memberships: ClaimGroupMemberships, records: ClaimRecords): ClaimRecordCopier {
    return new ClaimRecordCopier(clock, network, memberships, records)
  }

  /** Requests every copy that is still required. Replies to earlier requests are ignored from here on. */
  requestCopies (): void {
    const required = this.memberships.requiredCopies()
    this.pending.clear()
    this.round += 1
    const asks = new Map<string, { from: string, epoch: number, slots: number[] }>()
    for (const copy of required) {
      this.pending.set(copyKey(copy), { copy, records: [], nextPart: 0 })
      const key = `${copy.epoch} ${copy.from}`
      const ask = asks.get(key) ?? { from: copy.from, epoch: copy.epoch, slots: [] }
      ask.slots.push(copy.slot)
      asks.set(key, ask)
    }
    for (const { from, epoch, slots } of asks.values()) {
      this.network.send(from, { body: { $case: 'copyAsk', value: { epoch, slots, round: this.round } } })
    }
  }

  /** Sends the records of those requested slots for which this entry's records are complete. */
  receiveAsk (from: string, ask: ClaimCopyAsk): void {
    for (const slot of ask.slots) {
      if (this.memberships.canServeCopy(slot, ask.epoch)) this.sendRecords(from, ask, slot)
    }
  }

  /** Accepts one part of a copy. The copy counts only once all its parts have arrived in order. */
  receivePart (from: string, part: ClaimCopyPart): void {
    const pending = this.pending.get(copyKey({ from, epoch: part.epoch, slot: part.slot }))
    if (pending === undefined || part.round !== this.round || part.part !== pending.nextPart) return
    pending.nextPart += 1
    pending.records.push(...part.records)
    if (!part.last) return
    this.pending.delete(copyKey(pending.copy))
    const now = this.clock.monotonicMilliseconds()
    for (const record of pending.records) this.records.merge(part.slot, record, now)
    this.memberships.recordCopy(pending.copy)
  }

  private sendRecords (to: string, ask: ClaimCopyAsk, slot: number): void {
    const all = this.records.copyOf(slot, this.clock.monotonicMilliseconds())
    const parts = Math.max(1, Math.ceil(all.length / RECORDS_PER_PART))
    for (let part = 0; part < parts; part += 1) {
      const records = all.slice(part * RECORDS_PER_PART, (part + 1) * RECORDS_PER_PART)
      const value: ClaimCopyPart = { epoch: ask.epoch, slot, records, part, last: part === parts - 1, round: ask.round }
      this.network.send(to, { body: { $case: 'copyPart', value } })
    }
  }
}

function copyKey (copy: RequiredCopy): string {
  return `${copy.epoch} ${copy.slot} ${copy.from}`
}
