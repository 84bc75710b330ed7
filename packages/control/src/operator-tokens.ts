import { timingSafeEqual } from 'node:crypto'
import type { Metadata } from '@grpc/grpc-js'
import { Failure } from '@hickoryspoke/runtime/failure'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import { Err, Ok, type Result } from 'ts-results-es'

/** Role of a token's owner. The authority may also decide disputes and force removals. */
export const OperatorRole = { Operator: 'operator', Authority: 'authority' } as const
export type OperatorRole = typeof OperatorRole[keyof typeof OperatorRole]

/** An operator and the SHA-256 digest of the operator's token. */
export interface OperatorToken {
  readonly name: string
  readonly role: OperatorRole
  readonly digest: string
}

/** The request carries no token, or an unknown one. */
export class UnknownToken extends Failure {
  readonly code = 'unknown_token'

  static create (): UnknownToken {
    return new UnknownToken('the token is missing or not known')
  }
}

const BEARER = /^Bearer (\S+)$/i

/** Authenticates operators by their bearer tokens. */
export class OperatorTokens {
  private constructor (private readonly tokens: readonly OperatorToken[]) {}

  static create (tokens: readonly OperatorToken[]): OperatorTokens {
    return new OperatorTokens(tokens)
  }

  /** Compares the token with every known digest, each in constant time, so that timing reveals nothing about them. */
  authenticate (metadata: Metadata): Result<OperatorToken, UnknownToken> {
    const [header] = metadata.get('authorization')
    const presented = sha256Digest(BEARER.exec(String(header ?? ''))?.[1] ?? '')
    const matches = this.tokens.filter((token) => timingSafeEqual(Buffer.from(token.digest), Buffer.from(presented)))
    const [match] = matches
    return match === undefined ? Err(UnknownToken.create()) : Ok(match)
  }
}
