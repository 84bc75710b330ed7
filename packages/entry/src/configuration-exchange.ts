import { sameIdentity, type FileIdentity } from '@hickoryspoke/configuration/identified-state'
import type { ConfigurationFetch, ConfigurationPiece, FreshnessMessage } from '@hickoryspoke/protocol/generated/freshness'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { HeldConfiguration } from './held-configuration.ts'

/** Bytes of a file that one message carries. */
export const PIECE_BYTES = 262_144

/** Wait for the next piece before another peer may be asked, in milliseconds. */
export const PIECE_TIMEOUT_MILLISECONDS = 1_000

interface Transfer {
  readonly peer: string
  identity: FileIdentity | undefined
  differenceFrom: FileIdentity | undefined
  parts: Uint8Array[]
  received: number
  lastHeard: number
}

/** What the exchange needs. */
export interface ConfigurationExchangeParts {
  readonly clock: Clock
  readonly network: PeerNetwork<FreshnessMessage>
  readonly held: HeldConfiguration
  readonly logger: Logger
}

/** Fetches newer configuration from peers, piece by piece, and serves them the same way. */
export class ConfigurationExchange {
  private transfer: Transfer | undefined

  private constructor (private readonly parts: ConfigurationExchangeParts) {}

  static create (parts: ConfigurationExchangeParts): ConfigurationExchange {
    return new ConfigurationExchange(parts)
  }

  /** Asks a peer for what it holds beyond this entry, unless a transfer is under way. */
  fetchFrom (peer: string): void {
    const now = this.parts.clock.monotonicMilliseconds()
    if (this.transfer !== undefined && now - this.transfer.lastHeard < PIECE_TIMEOUT_MILLISECONDS) return
    this.transfer = { peer, identity: undefined, differenceFrom: undefined, parts: [], received: 0, lastHeard: now }
    this.askNext(this.transfer)
  }

  /** Answers a peer that lacks something: the membership where it is newer, and the next piece of the file. */
  serve (from: string, fetch: ConfigurationFetch): void {
    const { held, network } = this.parts
    if (fetch.epoch < held.membership.epoch) network.send(from, { body: { $case: 'membership', value: held.membership } })
    if ((fetch.held?.number ?? 0) >= held.versions().number) return
    const update = held.recent.updateFrom(fetch.held)
    if (update === undefined) return
    const offset = sameIdentity(fetch.wanted, update.identity) ? fetch.offset : 0
    const content = update.content.subarray(offset, offset + PIECE_BYTES)
    const { identity, differenceFrom } = update
    network.send(from, { body: { $case: 'piece', value: { identity, differenceFrom, offset, total: update.content.length, content } } })
  }

  /** Takes a piece of the transfer that is under way, and asks for the next. */
  takePiece (from: string, piece: ConfigurationPiece): void {
    const { transfer } = this
    if (transfer === undefined || transfer.peer !== from || piece.identity === undefined) return
    if (piece.offset === 0) this.restart(transfer, piece)
    if (piece.offset !== transfer.received || !sameIdentity(piece.identity, transfer.identity)) return
    transfer.parts.push(piece.content)
    transfer.received += piece.content.length
    transfer.lastHeard = this.parts.clock.monotonicMilliseconds()
    if (transfer.received < piece.total) this.askNext(transfer)
    else this.finish(transfer)
  }

  private restart (transfer: Transfer, piece: ConfigurationPiece): void {
    transfer.identity = piece.identity
    transfer.differenceFrom = piece.differenceFrom
    transfer.parts = []
    transfer.received = 0
  }

  private askNext (transfer: Transfer): void {
    const { held, network } = this.parts
    const value = { held: held.identity, epoch: held.membership.epoch, wanted: transfer.identity, offset: transfer.received }
    network.send(transfer.peer, { body: { $case: 'fetch', value } })
  }

  private finish (transfer: Transfer): void {
    this.transfer = undefined
    if (transfer.identity === undefined) return
    const { identity, differenceFrom } = transfer
    const taken = this.parts.held.takeUpdate({ identity, differenceFrom, content: Buffer.concat(transfer.parts) })
    if (taken.isErr()) this.parts.logger.warn('configuration of a peer refused', { peer: transfer.peer, reason: taken.error.message })
  }
}
