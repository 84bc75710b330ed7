import { sameIdentity, type FileIdentity } from '@hickoryspoke/configuration/identified-state'
import type { ConfigurationFetch, ConfigurationPiece, FreshnessMessage } from '@hickoryspoke/protocol/generated/freshness'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { HeldConfiguration } from './held-configuration.ts'

/** Maximum size in bytes of the content of one `ConfigurationPiece`. */
export const PIECE_BYTES = 262_144

/** Time to wait for the next piece before another transfer may be started, in milliseconds. */
export const PIECE_TIMEOUT_MILLISECONDS = 1_000

interface Transfer {
  readonly peer: string
  identity: FileIdentity | undefined
  differenceFrom: FileIdentity | undefined
  chunks: Uint8Array[]
  received: number
  lastReceivedAt: number
}

/** Dependencies of a `ConfigurationExchange`. */
export interface ConfigurationExchangeOptions {
  readonly clock: Clock
  readonly network: PeerNetwork<FreshnessMessage>
  readonly held: HeldConfiguration
  readonly logger: Logger
}

/** Fetches newer configuration from peers piece by piece, and serves it to peers. */
export class ConfigurationExchange {
  private transfer: Transfer | undefined

  private constructor (private readonly options: ConfigurationExchangeOptions) {}

  static create (options: ConfigurationExchangeOptions): ConfigurationExchange {
    return new ConfigurationExchange(options)
  }

  /** Starts to fetch newer configuration from a peer, unless a transfer is in progress. */
  fetchFrom (peer: string): void {
    const now = this.options.clock.monotonicMilliseconds()
    if (this.transfer !== undefined && now - this.transfer.lastReceivedAt < PIECE_TIMEOUT_MILLISECONDS) return
    this.transfer = { peer, identity: undefined, differenceFrom: undefined, chunks: [], received: 0, lastReceivedAt: now }
    this.requestNextPiece(this.transfer)
  }

  /** Answers a fetch with the membership, if it is newer here, and with the next piece of the update. */
  serveFetch (from: string, fetch: ConfigurationFetch): void {
    const { held, network } = this.options
    if (fetch.epoch < held.membership.epoch) network.send(from, { body: { $case: 'membership', value: held.membership } })
    if ((fetch.held?.number ?? 0) >= held.versions().number) return
    const update = held.recent.updateFrom(fetch.held)
    if (update === undefined) return
    const offset = sameIdentity(fetch.wanted, update.identity) ? fetch.offset : 0
    const content = update.content.subarray(offset, offset + PIECE_BYTES)
    const { identity, differenceFrom } = update
    network.send(from, { body: { $case: 'piece', value: { identity, differenceFrom, offset, total: update.content.length, content } } })
  }

  /** Adds a piece to the current transfer, and requests the next piece or applies the complete update. */
  receivePiece (from: string, piece: ConfigurationPiece): void {
    const { transfer } = this
    if (transfer === undefined || transfer.peer !== from || piece.identity === undefined) return
    if (piece.offset === 0) this.restart(transfer, piece)
    if (piece.offset !== transfer.received || !sameIdentity(piece.identity, transfer.identity)) return
    transfer.chunks.push(piece.content)
    transfer.received += piece.content.length
    transfer.lastReceivedAt = this.options.clock.monotonicMilliseconds()
    if (transfer.received < piece.total) this.requestNextPiece(transfer)
    else this.finish(transfer)
  }

  private restart (transfer: Transfer, piece: ConfigurationPiece): void {
    transfer.identity = piece.identity
    transfer.differenceFrom = piece.differenceFrom
    transfer.chunks = []
    transfer.received = 0
  }

  private requestNextPiece (transfer: Transfer): void {
    const { held, network } = this.options
    const value = { held: held.identity, epoch: held.membership.epoch, wanted: transfer.identity, offset: transfer.received }
    network.send(transfer.peer, { body: { $case: 'fetch', value } })
  }

  private finish (transfer: Transfer): void {
    this.transfer = undefined
    if (transfer.identity === undefined) return
    const { identity, differenceFrom } = transfer
    const applied = this.options.held.applyUpdate({ identity, differenceFrom, content: Buffer.concat(transfer.chunks) })
    if (applied.isErr()) this.options.logger.warn('configuration from peer refused', { peer: transfer.peer, reason: applied.error.message })
  }
}
