import type { Metadata, ServerWritableStream } from '@grpc/grpc-js'
import { formatDesiredState } from '@hickoryspoke/configuration/desired-state'
import { MembershipOutcome } from '@hickoryspoke/protocol/generated/command'
import {
  ApplyOutcome,
  type ApplyAnswer, type AuditLine, type AuditRequest, type ForceRemovalAnswer, type ForceRemovalRequest, type OperatorServer
} from '@hickoryspoke/protocol/generated/operator'
import { AUTHORITY_ROLE, type AcceptedState } from '@hickoryspoke/replication/accepted-state'
import type { ReplicatedLog } from '@hickoryspoke/replication/replicated-log'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { AuditFeed } from './audit-feed.ts'
import type { ControlProposer } from './control-proposer.ts'
import { DELIVERY_TIMEOUT_MILLISECONDS, waitUntilHeld } from './delivery.ts'
import type { Enrolment } from './enrolment.ts'
import type { EntryRegistry } from './entry-registry.ts'
import { RequestRefused, toServiceError, unaryHandler } from './grpc-handlers.ts'
import { disputeDocuments, sortedState, statusDocument, toJsonDocument } from './operator-documents.ts'
import type { OperatorToken, OperatorTokens } from './operator-tokens.ts'
import { UpstreamViews } from './upstream-views.ts'

/** Dependencies of an `OperatorService`. */
export interface OperatorServiceOptions {
  readonly log: ReplicatedLog
  readonly state: AcceptedState
  readonly proposer: ControlProposer
  readonly registry: EntryRegistry
  readonly enrolment: Enrolment
  readonly tokens: OperatorTokens
  readonly clock: Clock
}

/** Serves operators' requests. Only the leader accepts changes. */
export class OperatorService {
  private readonly views: UpstreamViews
  private readonly feed: AuditFeed

  private constructor (private readonly options: OperatorServiceOptions) {
    this.views = UpstreamViews.create(options.registry, options.clock)
    this.feed = AuditFeed.create(options.state)
  }

  static create (options: OperatorServiceOptions): OperatorService {
    return new OperatorService(options)
  }

  /** Handlers for the gRPC service. */
  handlers (): OperatorServer {
    const { state, registry } = this.options
    return {
      apply: unaryHandler(async ({ metadata, request }) => {
        const operator = this.authenticate(metadata)
        const { proposer } = this.options
        const answer = request.state !== undefined ? proposer.applyState(request.state, operator) : proposer.applyFile(request.file, operator)
        return await this.confirmDelivery(await answer)
      }),
      decide: unaryHandler(async ({ metadata, request }) => {
        const operator = this.authenticate(metadata)
        return await this.confirmDelivery(await this.options.proposer.decide(request.number, request.digest, operator))
      }),
      status: unaryHandler(async ({ metadata }) => {
        const confirmed = await this.confirmRead(metadata)
        return toJsonDocument(statusDocument(state, this.options.log, registry, confirmed))
      }),
      disputes: unaryHandler(async ({ metadata, request }) => {
        await this.confirmRead(metadata)
        return toJsonDocument(disputeDocuments(state, request.number))
      }),
      export: unaryHandler(async ({ metadata }) => {
        await this.confirmRead(metadata)
        const { accepted } = state
        return { identity: accepted?.identity, file: accepted === undefined ? '' : formatDesiredState(sortedState(accepted)) }
      }),
      upstreams: unaryHandler(async ({ metadata }) => {
        await this.confirmRead(metadata)
        return toJsonDocument(await this.views.collect())
      }),
      audit: (call) => this.serveAudit(call),
      forceRemoval: unaryHandler(async ({ metadata, request }) => await this.forceRemoval(request, this.authenticate(metadata)))
    }
  }

  private authenticate (metadata: Metadata): OperatorToken {
    const operator = this.options.tokens.authenticate(metadata)
    if (operator.isErr()) throw RequestRefused.unauthenticated(operator.error.message)
    return operator.value
  }

  /** Confirms that this replica's state is current. Otherwise refuses with the leader's address, or returns false if no other leader is known. */
  private async confirmRead (metadata: Metadata): Promise<boolean> {
    this.authenticate(metadata)
    if ((await this.options.log.readBarrier()).isOk()) return true
    const leader = this.options.proposer.leaderAddress()
    if (leader !== '' && this.options.log.role() !== 'leader') throw RequestRefused.notLeader(leader)
    return false
  }

  /** Reports a file that withdraws access as accepted only once a quorum in every region holds it. */
  private async confirmDelivery (answer: ApplyAnswer): Promise<ApplyAnswer> {
    const { state, registry, clock } = this.options
    const number = answer.identity?.number ?? 0
    const isAccepted = answer.outcome === ApplyOutcome.APPLY_OUTCOME_ACCEPTED
    if (!isAccepted || state.history.find(number)?.withdraws === false) return answer
    const behind = await waitUntilHeld(state, registry, clock, number, DELIVERY_TIMEOUT_MILLISECONDS)
    if (behind.length === 0) return answer
    const message = `accepted by control, but entries of ${behind.join(', ')} may still honour what it withdraws; send it again to wait on`
    return { ...answer, outcome: ApplyOutcome.APPLY_OUTCOME_NOT_CONFIRMED, message }
  }

  private async forceRemoval (request: ForceRemovalRequest, operator: OperatorToken): Promise<ForceRemovalAnswer> {
    const { state, proposer, enrolment } = this.options
    const { epoch } = state.entries
    const answerWith = (outcome: ApplyOutcome, message: string): ForceRemovalAnswer => {
      return { outcome, epoch: state.entries.epoch, message, leader: proposer.leaderAddress() }
    }
    if (operator.role !== AUTHORITY_ROLE) return answerWith(ApplyOutcome.APPLY_OUTCOME_FORBIDDEN, 'only the authority removes by force')
    if (this.options.log.role() !== 'leader') return answerWith(ApplyOutcome.APPLY_OUTCOME_NOT_LEADER, 'this replica does not lead')
    const notSilent = request.entries.filter((name) => !enrolment.isSilent(name))
    if (notSilent.length > 0) return answerWith(ApplyOutcome.APPLY_OUTCOME_STALE, `not silent for long enough: ${notSilent.join(', ')}`)
    const command = { expectedEpoch: epoch, expectedConfiguration: state.accepted?.identity, put: [], remove: request.entries, forced: true }
    const answer = await proposer.changeMembership(command, operator)
    if (answer.isErr()) return answerWith(ApplyOutcome.APPLY_OUTCOME_NOT_CONFIRMED, answer.error.message)
    const isDone = answer.value.outcome !== MembershipOutcome.MEMBERSHIP_OUTCOME_FORBIDDEN
    return answerWith(isDone ? ApplyOutcome.APPLY_OUTCOME_ACCEPTED : ApplyOutcome.APPLY_OUTCOME_FORBIDDEN, 'removed')
  }

  private serveAudit (call: ServerWritableStream<AuditRequest, AuditLine>): void {
    try {
      this.authenticate(call.metadata)
    } catch (thrown) {
      call.emit('error', toServiceError(thrown))
      return
    }
    void this.feed.serve(call, call.request)
  }
}
