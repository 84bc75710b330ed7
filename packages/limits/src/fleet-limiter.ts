import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import type { LeaseAsk, ShareMessage } from '@hickoryspoke/protocol/generated/share'
import { type Clock, repeatEvery, sleep } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { type Admission, REFUSAL_REASON, type RefusalReason } from './admission.ts'
import { AdmissionDesk } from './admission-desk.ts'
import { countAdmission, type LimiterView, viewOfCustomers } from './limiter-view.ts'
import { CustomerDirectory, type KnownCustomer } from './customer-directory.ts'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import { HomeGroups } from './home-groups.ts'
import { LeaseTable, type LeaseTableParts } from './lease-table.ts'
import { LoopbackNetwork } from './loopback-network.ts'
import { ShareAsker } from './share-asker.ts'
import { ShareHolder } from './share-holder.ts'
import { SHARE_SETTINGS, type ShareSettings } from './share-settings.ts'
import { type CustomerRate, regionOfShare, type Share } from './share-split.ts'
import { handOverSlots } from './slot-handover.ts'

/** What a fleet limiter is built from. */
export interface FleetLimiterParts {
  readonly network: PeerNetwork<ShareMessage>
  readonly clock: Clock
  readonly random: RandomSource
  readonly epochLease: EpochLease
  readonly settings?: ShareSettings
}

type ShareBody = NonNullable<ShareMessage['body']>
type ShareMessageHandlers = {
  [Case in ShareBody['$case']]: (from: string, value: Extract<ShareBody, { $case: Case }>['value']) => void
}

/** Holds each customer to its rate and burst over the whole fleet. */
export class FleetLimiter {
  private readonly handlers: ShareMessageHandlers = {
    tokenAsk: (from, ask) => this.holder.receive(from, ask),
    tokenAnswer: (_from, answer) => this.asker.receive(answer),
    leaseAsks: (from, batch) => this.receiveLeaseAsks(from, batch.asks),
    leaseVotes: (from, batch) => this.leases.receiveVotes(from, batch.votes),
    handover: (_from, handover) => this.leases.receiveHandover(handover),
    witnessSync: (from, sync) => this.leases.receiveSync(from, sync),
    witnessedGrant: (from, grant) => this.leases.receiveGrant(from, grant),
    leaving: (from) => this.receiveLeaving(from),
    release: (from, release) => this.leases.receiveRelease(from, release)
  }

  private readonly directory = CustomerDirectory.create()
  private readonly stopped = new AbortController()
  private readonly settings: ShareSettings
  private readonly leases: LeaseTable
  private readonly holder: ShareHolder
  private readonly asker: ShareAsker
  private readonly desk: AdmissionDesk
  private groups: HomeGroups | undefined
  private formerGroups: HomeGroups | undefined
  private region = 0
  private readonly network: PeerNetwork<ShareMessage>
  /** The last right to act that was read, and the epoch it was for. */
  private lastRight = { epoch: 0, until: 0 }
  private pendingDecisions = 0
  private closing = false

  private constructor (private readonly parts: FleetLimiterParts) {
    this.settings = parts.settings ?? SHARE_SETTINGS
    this.network = LoopbackNetwork.create(parts.network, (from, message: ShareMessage) => this.receive(from, message))
    const lookup = (shareKey: number): Share | undefined => this.shareHeldHere(shareKey)
    const shared: LeaseTableParts = { settings: this.settings, clock: parts.clock, random: parts.random, network: this.network, lookup }
    const mayActUntil = (): number => this.mayActUntil()
    const zoneOf = (name: string): string | undefined => this.groups?.zoneOf(name)
    this.leases = LeaseTable.create(shared)
    this.holder = ShareHolder.create({ ...shared, leases: this.leases, zoneOf, mayActUntil })
    this.asker = ShareAsker.create(shared)
    this.desk = AdmissionDesk.create({ ...shared, asker: this.asker, groups: () => this.groups, formerGroups: () => this.formerGroups, mayActUntil })
  }

  /** A limiter that admits once it has customers, a membership and a valid epoch lease. */
  static create (parts: FleetLimiterParts): FleetLimiter {
    const limiter = new FleetLimiter(parts)
    void repeatEvery(parts.clock, limiter.settings.leaseCheckMilliseconds, limiter.stopped.signal, () => limiter.checkLeases())
    void repeatEvery(parts.clock, limiter.settings.sweepMilliseconds, limiter.stopped.signal, () => limiter.sweep())
    return limiter
  }

  /** Takes the customers of a newly accepted configuration; tokens already granted stay counted. */
  applyCustomers (customers: readonly CustomerRate[]): void {
    this.directory.apply(customers)
  }

  /** Takes the membership of a new epoch, once it is in force here. */
  applyMembership (membership: EntryMembership): void {
    if (this.groups !== undefined && membership.epoch <= this.groups.epoch) return
    const self = membership.entries.find((entry) => entry.name === this.parts.network.self)
    const groups = HomeGroups.create(membership)
    this.formerGroups = this.groups
    this.groups = groups
    this.region = self === undefined ? 0 : groups.regions.indexOf(self.region)
    this.leases.applyGroups(groups, this.region, this.lastRight.until)
    this.checkLeases()
  }

  /** Whether this entry may act and its home groups are in force. */
  ready (): boolean {
    return this.mayAct() && this.parts.clock.monotonicMilliseconds() >= this.parts.epochLease.exclusiveFromMilliseconds()
  }

  /** Decides whether a request of a customer may run now, and takes a token if so. */
  async admit (customerName: string): Promise<Admission> {
    const customer = this.directory.find(customerName)
    if (customer === undefined) return refuse(REFUSAL_REASON.unknownCustomer)
    const admission = await this.decide(customer)
    countAdmission(customer, admission, this.parts.clock.monotonicMilliseconds())
    return admission
  }

  /** Handles a message of another entry. */
  receive (from: string, message: ShareMessage): void {
    if (message.body === undefined || this.stopped.signal.aborted) return
    const handler = this.handlers[message.body.$case] as (from: string, value: unknown) => void
    handler(from, message.body.value)
  }

  /** Figures of each customer that sent anything, and of the leases. */
  view (): LimiterView {
    const now = this.parts.clock.monotonicMilliseconds()
    const members = [...this.leases.all()]
    return {
      heldSlots: members.filter((member) => member.holdsUntil() > now).map((member) => member.slot),
      slotsVoted: members.length,
      pendingDecisions: this.pendingDecisions,
      customers: viewOfCustomers(this.directory, now)
    }
  }

  /** Passes the shares held here to successors and stops. Call it once no request is left to admit. */
  async close (): Promise<void> {
    if (this.closing) return
    this.holder.close()
    this.closing = true
    handOverSlots({ leases: this.leases, network: this.network, clock: this.parts.clock })
    await sleep(this.parts.clock, this.settings.closingVoteMilliseconds)
    this.stopped.abort()
    this.asker.close()
  }

  private async decide (customer: KnownCustomer): Promise<Admission> {
    const { groups } = this
    if (groups === undefined || !this.mayAct()) return refuse(REFUSAL_REASON.notInEpoch)
    if (this.pendingDecisions >= this.settings.mostPendingDecisions) return refuse(REFUSAL_REASON.overloaded)
    const regions = groups.regions.length
    const shareKeys = this.directory.shareKeys(customer, this.region, regions)
    const near = shareKeys.filter((shareKey) => regionOfShare(shareKey, regions) === this.region).length
    this.pendingDecisions += 1
    const admission = await this.desk.decide(customer, shareKeys, near)
    this.pendingDecisions -= 1
    return admission
  }

  /** Zero while the membership at hand is not the one of the epoch lease. */
  private mayActUntil (): number {
    const { epochLease } = this.parts
    if (this.groups === undefined || this.groups.epoch !== epochLease.epoch()) return 0
    this.lastRight = { epoch: this.groups.epoch, until: epochLease.validUntilMilliseconds() }
    return this.lastRight.until
  }

  private shareHeldHere (shareKey: number): Share | undefined {
    const regions = this.groups?.regions.length ?? 1
    if (regionOfShare(shareKey, regions) !== this.region) return undefined
    return this.directory.share(shareKey, regions)
  }

  private mayAct (): boolean {
    return this.mayActUntil() > this.parts.clock.monotonicMilliseconds()
  }

  private checkLeases (): void {
    if (!this.mayAct()) return
    if (this.parts.clock.monotonicMilliseconds() >= this.parts.epochLease.exclusiveFromMilliseconds()) this.leases.settle()
    this.leases.check()
  }

  private receiveLeaving (from: string): void {
    this.leases.receiveLeaving(from)
    this.desk.forgetHolder(from)
  }

  private receiveLeaseAsks (from: string, asks: readonly LeaseAsk[]): void {
    if (this.mayAct()) this.leases.receiveAsks(from, asks)
  }

  private sweep (): void {
    const now = this.parts.clock.monotonicMilliseconds()
    for (const member of this.leases.all()) member.sweep(now)
    this.desk.sweep()
  }
}

function refuse (reason: RefusalReason): Admission {
  return { admitted: false, reason, retryAfterMilliseconds: REFUSED_RETRY_AFTER_MILLISECONDS }
}

const REFUSED_RETRY_AFTER_MILLISECONDS = 1000
