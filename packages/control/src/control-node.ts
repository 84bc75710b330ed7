import { Server } from '@grpc/grpc-js'
import { DistributionService as DistributionDefinition } from '@hickoryspoke/protocol/generated/distribution'
import { OperatorService as OperatorDefinition } from '@hickoryspoke/protocol/generated/operator'
import { InnerCredentials, toInnerSecurity } from '@hickoryspoke/protocol/inner-credentials'
import { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import { GrpcReplicaNetwork } from '@hickoryspoke/replication/grpc-replica-network'
import { Replica } from '@hickoryspoke/replication/replica'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { Err, Ok, type Result } from 'ts-results-es'
import { ControlProposer } from './control-proposer.ts'
import type { ControlSettings } from './control-settings.ts'
import { DistributionService } from './distribution-service.ts'
import { Enrolment } from './enrolment.ts'
import { OperatorService } from './operator-service.ts'
import { OperatorTokens } from './operator-tokens.ts'
import { logReplicaEvent, logStorageFailure } from './replica-event-log.ts'
import { shutDownServer } from './server-shutdown.ts'

/** Process-wide dependencies of a control process. */
export interface ControlEnvironment {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
}

const SHUTDOWN_MILLISECONDS = 1_000
const MAXIMUM_MESSAGE_BYTES = 67_108_864

const SERVER_OPTIONS = {
  'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES
}

/** A control process: a replica of the log, and the gRPC services on top of it. */
export class ControlNode {
  private constructor (
    private readonly server: Server,
    private readonly clock: Clock,
    private readonly replica: Replica,
    private readonly stopping: AbortController,
    private readonly tasks: readonly Promise<void>[],
    /** The bound IP:PORT. */
    readonly address: string
  ) {}

  static async start (settings: ControlSettings, surroundings: ControlEnvironment): Promise<Result<ControlNode, Failure>> {
    const { clock, random, logger } = surroundings
    const credentials = InnerCredentials.create(toInnerSecurity(settings.security))
    const server = new Server(SERVER_OPTIONS)
    const addresses = Object.fromEntries(settings.replicas.map((replica) => [replica.name, replica.address]))
    const network = GrpcReplicaNetwork.create({ self: settings.name, addresses, credentials, clock, random })
    network.addTo(server)
    const state = AcceptedState.create()
    const replica = await createReplica(settings, surroundings, state, network)
    if (replica.isErr()) return replica
    const log = replica.value
    const proposer = ControlProposer.create({ log, state, clock, addressOf: (name) => addresses[name] })
    const distribution = DistributionService.create({ log, state, clock, logger, leaderAddress: () => proposer.leaderAddress() })
    const enrolment = Enrolment.create({ log, state, registry: distribution.registry, proposer, clock })
    const tokens = OperatorTokens.create(settings.operators)
    const operator = OperatorService.create({ log, state, proposer, registry: distribution.registry, enrolment, tokens, clock })
    server.addService(DistributionDefinition, distribution.handlers())
    server.addService(OperatorDefinition, operator.handlers())
    const port = await credentials.bind(server, settings.listen)
    if (port.isErr()) return Err(port.error)
    const address = `${settings.listen.slice(0, settings.listen.lastIndexOf(':'))}:${port.value}`
    addresses[settings.name] = address
    log.start()
    const stopping = new AbortController()
    const tasks = [distribution.run(stopping.signal), enrolment.run(stopping.signal)]
    logger.info('control is listening', { address, cluster: settings.cluster })
    void logStorageFailure(logger, log)
    return Ok(new ControlNode(server, clock, log, stopping, tasks, address))
  }

  /** Hands leadership over, closes the journal and ends all streams. */
  async stop (): Promise<void> {
    await this.replica.stop()
    this.stopping.abort()
    await Promise.all(this.tasks)
    await shutDownServer(this.server, this.clock, SHUTDOWN_MILLISECONDS)
  }

  /** Resolves when the replica has stopped; with a failure if storage failed, after which the process must end. */
  async whenFailed (): Promise<Failure | undefined> {
    return await this.replica.whenStopped()
  }

  /** Describes unfinished work for the log of a stop; accepted changes are already on disk. */
  unfinished (): string {
    return `leader known: ${this.replica.leader() ?? 'none'}`
  }
}

async function createReplica (
  settings: ControlSettings,
  { clock, random, logger }: ControlEnvironment,
  stateMachine: AcceptedState,
  network: GrpcReplicaNetwork
): Promise<Result<Replica, Failure>> {
  return await Replica.create({
    cluster: settings.cluster,
    name: settings.name,
    folder: settings.data_folder,
    peers: settings.replicas.map((replica) => replica.name),
    onEmptyFolder: settings.on_empty_folder,
    stateMachine,
    join: settings.replicas.length > 1 ? (handler) => network.join(handler) : undefined,
    clock,
    random,
    report: (event) => logReplicaEvent(logger, event)
  })
}
