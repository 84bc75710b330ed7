/** The operations that a control process offers to operators and upstreams, independent of transport and format. */
import type { AnnouncedUpstream } from '@hickoryspoke/protocol/generated/dispatch'
import type { PublishedDocument } from '@hickoryspoke/replication/published-document'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { InvalidInput } from '@hickoryspoke/runtime/failure'
import { isOlder } from '@hickoryspoke/runtime/held-number'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { DispatchingControl } from './dispatching-control.ts'

/** Result of an operation. `leader` is the inner IP:PORT of the control VM to send the call to instead. */
export type ControlApiAnswer<Value = undefined> =
  | { readonly kind: 'done', readonly value: Value }
  | { readonly kind: 'elsewhere', readonly leader: string }
  | { readonly kind: 'unavailable', readonly reason: string }
  | { readonly kind: 'refused', readonly error: InvalidInput }

/** Dependencies and settings of a `ControlApi`. */
export interface ControlApiOptions {
  readonly control: DispatchingControl
  readonly clock: Clock
  readonly logger: Logger
  /** Number of voting replicas that a new fleet needs before it acknowledges a document. */
  readonly requiredVoters: number
  /** Availability zones that may be evacuated; none by default. */
  readonly zones?: readonly string[]
}

/** How long after the start a fleet with too few voters refuses documents; afterwards it accepts them with those it has. */
const FORMING_MILLISECONDS = 6_000

/** Performs operations on the leader, and redirects to it on other replicas. */
export class ControlApi {
  private readonly startedAt: number

  private constructor (private readonly options: ControlApiOptions) {
    this.startedAt = options.clock.monotonicMilliseconds()
  }

  static create (options: ControlApiOptions): ControlApi {
    return new ControlApi(options)
  }

  /**
   * Publishes a valid document. Done means that it, or one with a higher number, survives the loss of a minority of replicas,
   * and that no entry acts on an older one for longer than the settings allow after an acknowledgement.
   */
  async publish (document: PublishedDocument): Promise<ControlApiAnswer> {
    const { control, clock, logger } = this.options
    const redirection = this.redirectUnlessLeader<undefined>()
    if (redirection !== undefined) return redirection
    if (this.isForming()) return { kind: 'unavailable', reason: 'the control VMs are still forming' }
    if (!isOlder(control.held?.number, document.number)) return await this.confirmDocument(document.number)
    const receivedAt = clock.monotonicMilliseconds()
    const published = await control.publish(document)
    logger.info('document proposed', {
      number: document.number,
      bytes: document.content.length,
      milliseconds: Math.round(clock.monotonicMilliseconds() - receivedAt),
      outcome: published.isOk() ? 'accepted' : published.error.code
    })
    return published.isOk() ? await this.confirmDocument(document.number) : { kind: 'unavailable', reason: published.error.code }
  }

  /** Reads the newest document. */
  async read (): Promise<ControlApiAnswer<PublishedDocument | undefined>> {
    const redirection = this.redirectUnlessLeader<PublishedDocument | undefined>()
    if (redirection !== undefined) return redirection
    const document = await this.options.control.read()
    return document.isOk() ? { kind: 'done', value: document.value } : { kind: 'unavailable', reason: document.error.code }
  }

  /** Applies an announcement. Done means that no entry sends requests to an upstream that is leaving for longer than the settings allow. */
  async announce (announced: AnnouncedUpstream): Promise<ControlApiAnswer> {
    const { control } = this.options
    if (!control.isLeader && control.announcements.accept(announced)) return { kind: 'done', value: undefined }
    const redirection = this.redirectUnlessLeader<undefined>()
    if (redirection !== undefined) return redirection
    if (control.registry.isForeign(announced)) {
      return { kind: 'refused', error: InvalidInput.create([{ code: 'unknown_pool', path: ['pool'], message: 'would replace an upstream of another pool' }]) }
    }
    this.recordAnnouncement(announced)
    return announced.draining ? await this.confirmDeparture(announced.instance) : { kind: 'done', value: undefined }
  }

  /** Removes an upstream that leaves. Done means the same as for an announcement. */
  async leave (instance: string, born: number | undefined): Promise<ControlApiAnswer> {
    const redirection = this.redirectUnlessLeader<undefined>()
    if (redirection !== undefined) return redirection
    this.options.control.registry.leave(instance, born)
    this.options.logger.info('upstream left', { upstream: instance })
    return await this.confirmDeparture(instance)
  }

  /**
   * Evacuates a zone or takes it back. Done means that the decision survives the loss of a minority of replicas, and that no entry
   * sends requests to an upstream of an evacuated zone for longer than the settings allow after an acknowledgement.
   */
  async setEvacuation (zone: string, isEvacuated: boolean): Promise<ControlApiAnswer> {
    const { clock, control, logger, zones = [] } = this.options
    if (!zones.includes(zone)) {
      return { kind: 'refused', error: InvalidInput.create([{ code: 'unknown_zone', path: ['zone'], message: 'not a zone of the network' }]) }
    }
    const redirection = this.redirectUnlessLeader<undefined>()
    if (redirection !== undefined) return redirection
    if (this.isForming()) return { kind: 'unavailable', reason: 'the control VMs are still forming' }
    const receivedAt = clock.monotonicMilliseconds()
    const result = await control.setEvacuation(zone, isEvacuated)
    const reason = result.isErr() ? result.error.code : 'not_confirmed'
    const isDone = result.isOk() && result.value
    const milliseconds = Math.round(clock.monotonicMilliseconds() - receivedAt)
    logger.info(isEvacuated ? 'start of evacuation requested' : 'end of evacuation requested', { zone, milliseconds, outcome: isDone ? 'acknowledged' : reason })
    return isDone ? { kind: 'done', value: undefined } : { kind: 'unavailable', reason }
  }

  private async confirmDocument (number: number): Promise<ControlApiAnswer> {
    return await this.confirmNews('document', number, async () => await this.options.control.isDocumentKnown())
  }

  private async confirmDeparture (instance: string): Promise<ControlApiAnswer> {
    return await this.confirmNews('departure', instance, async () => await this.options.control.isDepartureKnown(instance))
  }

  private async confirmNews (kind: string, subject: string | number, isKnown: () => Promise<boolean>): Promise<ControlApiAnswer> {
    const { clock, logger } = this.options
    const receivedAt = clock.monotonicMilliseconds()
    const known = await isKnown()
    logger.info(known ? 'news acknowledged' : 'news not acknowledged', { kind, subject, milliseconds: Math.round(clock.monotonicMilliseconds() - receivedAt) })
    return known ? { kind: 'done', value: undefined } : { kind: 'unavailable', reason: 'not_confirmed' }
  }

  private recordAnnouncement (announced: AnnouncedUpstream): void {
    const { registry } = this.options.control
    const previous = registry.find(announced.instance)?.announced
    const isApplied = registry.announce(announced)
    if (isApplied && (previous?.draining !== announced.draining || previous.born !== announced.born)) {
      this.options.logger.info('upstream announced', {
        upstream: announced.instance, pool: announced.pool, address: announced.address, draining: announced.draining, sequence: announced.sequence
      })
    }
  }

  private isForming (): boolean {
    const { clock, control, requiredVoters } = this.options
    return clock.monotonicMilliseconds() - this.startedAt < FORMING_MILLISECONDS && control.voters < requiredVoters
  }

  /** Redirects to the leader, or fails when none is known; undefined if this replica leads. */
  private redirectUnlessLeader<Value> (): ControlApiAnswer<Value> | undefined {
    const { control } = this.options
    if (control.isLeader) return undefined
    const { leader } = control
    return leader === undefined ? { kind: 'unavailable', reason: 'no leader is known' } : { kind: 'elsewhere', leader }
  }
}
