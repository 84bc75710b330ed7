import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import type { LeaseAsk, ShareMessage } from '@hickoryspoke/protocol/generated/share'
import { type Clock, repeatEvery, sleep } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { AdmissionController } from './admission-controller.ts'
import { type Admission, REFUSAL_REASON, type RefusalReason } from './admission.ts'
import { CustomerDirectory, type CustomerRecord } from './customer-directory.ts'
import { countAdmission, type LimiterView, customerStatistics } from './limiter-view.ts'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import { LeaseGroups } from './lease-groups.ts'
import { LeaseTable, type LeaseTableOptions } from './lease-table.ts'
import { LoopbackNetwork } from './loopback-network.ts'
import { DEFAULT_SHARE_SETTINGS, type ShareSettings } from './share-settings.ts'
import { type CustomerRate, regionOfShare, type Share } from './share-split.ts'
import { handOverSlots } from './slot-handover.ts'
import { TokenClient } from './token-client.ts'
import { TokenServer } from './token-server.ts'

/** Dependencies of `FleetLimiter`. */
export interface FleetLimiterOptions {
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

/** Enforces each customer's rate and burst across the whole fleet. */
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
  private readonly holder: TokenServer
  private readonly asker: TokenClient
  private readonly controller: AdmissionController
  private groups: LeaseGroups | undefined
  private previousGroups: LeaseGroups | undefined
  private region = 0
  private readonly network: PeerNetwork<ShareMessage>
  /** Epoch and expiry of the epoch lease when it was last read for the current membership. */
  private lastAuthority = { epoch: 0, until: 0 }
  private pendingDecisions = 0
  private closing = false

  private constructor (private readonly options: FleetLimiterOptions) {
    this.settings = options.settings ?? DEFAULT_SHARE_SETTINGS
    this.network = LoopbackNetwork.create(options.network, (from, message: ShareMessage) => this.receive(from, message))
    const lookup = (shareKey: number): Share | undefined => this.shareHeldHere(shareKey)
    const shared: LeaseTableOptions = { settings: this.settings, clock: options.clock, random: options.random, network: this.network, lookup }
    const mayActUntil = (): number => this.mayActUntil()
    const zoneOf = (name: string): string | undefined => this.groups?.zoneOf(name)
    this.leases = LeaseTable.create(shared)
    this.holder = TokenServer.create({ ...shared, leases: this.leases, zoneOf, mayActUntil })
    this.asker = TokenClient.create(shared)
    this.controller = AdmissionController.create({
      ...shared, asker: this.asker, groups: () => this.groups, previousGroups: () => this.previousGroups, mayActUntil
    })
  }

  /** Creates a limiter, which admits requests once it has customers, a membership and a valid epoch lease. */
  static create (options: FleetLimiterOptions): FleetLimiter {
    const limiter = new FleetLimiter(options)
    void repeatEvery(options.clock, limiter.settings.leaseCheckMilliseconds, limiter.stopped.signal, () => limiter.checkLeases())
    void repeatEvery(options.clock, limiter.settings.sweepMilliseconds, limiter.stopped.signal, () => limiter.sweep())
    return limiter
  }

  /** Applies the customers of a newly accepted configuration; tokens already granted remain counted. */
  applyCustomers (customers: readonly CustomerRate[]): void {
    this.directory.apply(customers)
  }

  /** Applies the membership of a new epoch; an older or equal epoch is ignored. */
  applyMembership (membership: EntryMembership): void {
    if (this.groups !== undefined && membership.epoch <= this.groups.epoch) return
    const self = membership.entries.find((entry) => entry.name === this.options.network.self)
    const groups = LeaseGroups.create(membership)
    this.previousGroups = this.groups
    this.groups = groups
    this.region = self === undefined ? 0 : groups.regions.indexOf(self.region)
    this.leases.applyGroups(groups, this.region, this.lastAuthority.until)
    this.checkLeases()
  }

  /** Whether this entry has a valid epoch lease and every lease on an earlier epoch has expired. */
  ready (): boolean {
    return this.mayAct() && this.options.clock.monotonicMilliseconds() >= this.options.epochLease.exclusiveFromMilliseconds()
  }

  /** Decides whether a customer's request may run now and takes a token if so. */
  async admit (customerName: string): Promise<Admission> {
    const customer = this.directory.find(customerName)
    if (customer === undefined) return refuse(REFUSAL_REASON.unknownCustomer)
    const admission = await this.decide(customer)
    countAdmission(customer, admission, this.options.clock.monotonicMilliseconds())
    return admission
  }

  /** Handles a message from another entry. */
  receive (from: string, message: ShareMessage): void {
    if (message.body === undefined || this.stopped.signal.aborted) return
    const handler = this.handlers[message.body.$case] as (from: string, value: unknown) => void
    handler(from, message.body.value)
  }

  /** State of the leases and statistics of each customer that sent at least one request. */
  view (): LimiterView {
    const now = this.options.clock.monotonicMilliseconds()
    const members = [...this.leases.all()]
    return {
      heldSlots: members.filter((member) => member.holdsUntil() > now).map((member) => member.slot),
      slotsVoted: members.length,
      pendingDecisions: this.pendingDecisions,
      customers: customerStatistics(this.directory, now)
    }
  }

  /** Hands the leases held here over to successors and stops. Call it once no request is left to admit. */
  async close (): Promise<void> {
    if (this.closing) return
    this.holder.close()
    this.closing = true
    handOverSlots({ leases: this.leases, network: this.network, clock: this.options.clock })
    await sleep(this.options.clock, this.settings.shutdownVotingMilliseconds)
    this.stopped.abort()
    this.asker.close()
  }

  private async decide (customer: CustomerRecord): Promise<Admission> {
    const { groups } = this
    if (groups === undefined || !this.mayAct()) return refuse(REFUSAL_REASON.notInEpoch)
    if (this.pendingDecisions >= this.settings.maximumPendingDecisions) return refuse(REFUSAL_REASON.overloaded)
    const regions = groups.regions.length
    const shareKeys = this.directory.shareKeys(customer, this.region, regions)
    const localCount = shareKeys.filter((shareKey) => regionOfShare(shareKey, regions) === this.region).length
    this.pendingDecisions += 1
    const admission = await this.controller.decide(customer, shareKeys, localCount)
    this.pendingDecisions -= 1
    return admission
  }

  /** Expiry of the epoch lease; 0 while the applied membership is not of the leased epoch. */
  private mayActUntil (): number {
    const { epochLease } = this.options
    if (this.groups === undefined || this.groups.epoch !== epochLease.epoch()) return 0
    this.lastAuthority = { epoch: this.groups.epoch, until: epochLease.validUntilMilliseconds() }
    return this.lastAuthority.until
  }

  private shareHeldHere (shareKey: number): Share | undefined {
    const regions = this.groups?.regions.length ?? 1
    if (regionOfShare(shareKey, regions) !== this.region) return undefined
    return this.directory.share(shareKey, regions)
  }

  private mayAct (): boolean {
    return this.mayActUntil() > this.options.clock.monotonicMilliseconds()
  }

  private checkLeases (): void {
    if (!this.mayAct()) return
    if (this.options.clock.monotonicMilliseconds() >= this.options.epochLease.exclusiveFromMilliseconds()) this.leases.activateGroups()
    this.leases.check()
  }

  private receiveLeaving (from: string): void {
    this.leases.receiveLeaving(from)
    this.controller.forgetHolder(from)
  }

  private receiveLeaseAsks (from: string, asks: readonly LeaseAsk[]): void {
    if (this.mayAct()) this.leases.receiveAsks(from, asks)
  }

  private sweep (): void {
    const now = this.options.clock.monotonicMilliseconds()
    for (const member of this.leases.all()) member.sweep(now)
    this.controller.sweep()
  }
}

function refuse (reason: RefusalReason): Admission {
  return { admitted: false, reason, retryAfterMilliseconds: REFUSED_RETRY_AFTER_MILLISECONDS }
}

const REFUSED_RETRY_AFTER_MILLISECONDS = 1000
