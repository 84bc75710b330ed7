import { describeError, Failure } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'
import type { DesiredState } from './desired-state.ts'
import type { StateDifference } from './difference.ts'
import { IdentifiedState, sameIdentity, type FileIdentity } from './identified-state.ts'

/** The bytes cannot be decoded, or the decoded state does not have the expected identity. */
export class CorruptState extends Failure {
  readonly code = 'corrupt_state'

  static create (reason: string): CorruptState {
    return new CorruptState(reason)
  }
}

/** Encodes a full state as JSON. */
export function encodeState (state: IdentifiedState): Buffer {
  return Buffer.from(JSON.stringify(state.toDesiredState()))
}

/** Decodes a full state and verifies its identity. The schema is not checked again: states are validated before they are encoded. */
export function decodeState (bytes: Uint8Array, identity: FileIdentity): Result<IdentifiedState, CorruptState> {
  const parsed = readJson<DesiredState>(bytes)
  if (parsed.isErr()) return parsed
  return verify(IdentifiedState.create(parsed.value), identity)
}

/** Encodes a difference as JSON. */
export function encodeDifference (difference: StateDifference): Buffer {
  return Buffer.from(JSON.stringify(difference))
}

/** Decodes a difference. */
export function decodeDifference (bytes: Uint8Array): Result<StateDifference, CorruptState> {
  return readJson<StateDifference>(bytes)
}

/** Applies a difference and verifies the identity of the resulting state. */
export function applyDifference (
  before: IdentifiedState,
  difference: StateDifference,
  identity: FileIdentity
): Result<IdentifiedState, CorruptState> {
  const after = before.applyDifference(difference)
  if (after === undefined) return Err(CorruptState.create('the difference does not apply to this state'))
  return verify(after, identity)
}

function verify (state: IdentifiedState, identity: FileIdentity): Result<IdentifiedState, CorruptState> {
  if (sameIdentity(state.identity, identity)) return Ok(state)
  return Err(CorruptState.create(`expected ${identity.digest}, found ${state.identity.digest}`))
}

function readJson<Value> (bytes: Uint8Array): Result<Value, CorruptState> {
  try {
    return Ok(JSON.parse(Buffer.from(bytes).toString('utf8')) as Value)
  } catch (thrown) {
    return Err(CorruptState.create(describeError(thrown)))
  }
}
