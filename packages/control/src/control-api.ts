/** What a control process answers to operators and upstreams, apart from paths and formats. */
import type { AnnouncedUpstream } from '@hickoryspoke/protocol/generated/dispatch'
import type { PublishedDocument } from '@hickoryspoke/replication/published-document'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { DispatchingControl } from './dispatching-control.ts'

/** The answer to a call. `leader` is the inner IP:PORT of the control VM to ask instead. */
export type ControlApiAnswer<Value = undefined> =
  | { readonly kind: 'done', readonly value: Value }
  | { readonly kind: 'elsewhere', readonly leader: string }
  | { readonly kind: 'unavailable', readonly reason: string }

/** What the desk works with. */
export interface ControlApiParts {
  readonly control: DispatchingControl
  readonly clock: Clock
  readonly logger: Logger
  /** Voters that must share in decisions before a new fleet acknowledges anything. */
  readonly requiredVoters: number
}

/** A new fleet waits this long for more voters. */
const FORMING_MILLISECONDS = 6_000

/** Decides who answers a call. */
export class ControlApi {
  private readonly startedAt: number

  private constructor (private readonly parts: ControlApiParts) {
    this.startedAt = parts.clock.monotonicMilliseconds()
  }

  static create (parts: ControlApiParts): ControlApi {
    return new ControlApi(parts)
  }

  /** Publishes a valid document; done once it, or a higher number, outlasts the loss of a minority. */
  async publish (document: PublishedDocument): Promise<ControlApiAnswer> {
    const { control, logger } = this.parts
    const answerUnlessLeader = this.elsewhere<undefined>()
    if (answerUnlessLeader !== undefined) return answerUnlessLeader
    if (this.isForming()) return { kind: 'unavailable', reason: 'the control VMs are still forming' }
    if (document.number <= (control.held?.number ?? 0)) return { kind: 'done', value: undefined }
    const published = await control.publish(document)
    logger.info('document proposed', { number: document.number, bytes: document.content.length, outcome: published.isOk() ? 'accepted' : published.error.code })
    return published.isOk() ? { kind: 'done', value: undefined } : { kind: 'unavailable', reason: published.error.code }
  }

  /** The newest document. */
  async read (): Promise<ControlApiAnswer<PublishedDocument | undefined>> {
    const elsewhere = this.elsewhere<PublishedDocument | undefined>()
    if (elsewhere !== undefined) return elsewhere
    const document = await this.parts.control.read()
    return document.isOk() ? { kind: 'done', value: document.value } : { kind: 'unavailable', reason: document.error.code }
  }

  /** Takes an announcement. Done means that no entry in reach sends new requests to an upstream that leaves. */
  announce (announced: AnnouncedUpstream): ControlApiAnswer {
    return this.elsewhere<undefined>() ?? this.recordAnnouncement(announced)
  }

  /** Takes note that an upstream leaves. */
  leave (instance: string, born: number | undefined): ControlApiAnswer {
    const elsewhere = this.elsewhere<undefined>()
    if (elsewhere !== undefined) return elsewhere
    this.parts.control.registry.leave(instance, born)
    this.parts.logger.info('upstream left', { upstream: instance })
    return { kind: 'done', value: undefined }
  }

  private recordAnnouncement (announced: AnnouncedUpstream): ControlApiAnswer {
    const { registry } = this.parts.control
    const before = registry.find(announced.instance)?.announced
    const taken = registry.announce(announced)
    if (taken && (before?.draining !== announced.draining || before.born !== announced.born)) {
      this.parts.logger.info('upstream announced', {
        upstream: announced.instance, pool: announced.pool, address: announced.address, draining: announced.draining, sequence: announced.sequence
      })
    }
    return { kind: 'done', value: undefined }
  }

  private isForming (): boolean {
    const { clock, control, requiredVoters: wantedVoters } = this.parts
    return clock.monotonicMilliseconds() - this.startedAt < FORMING_MILLISECONDS && control.voters < wantedVoters
  }

  private elsewhere<Value> (): ControlApiAnswer<Value> | undefined {
    const { control } = this.parts
    if (control.isLeader) return undefined
    const { leader } = control
    return leader === undefined ? { kind: 'unavailable', reason: 'no leader is known' } : { kind: 'elsewhere', leader }
  }
}
