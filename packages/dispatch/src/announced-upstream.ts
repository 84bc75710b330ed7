/**
 * What an announced upstream must look like. Announcements may come from another writer or another build, so whoever takes
 * one in checks it here, and lists carry each one encoded by itself, so that one that cannot be read spoils no other.
 */
import { AnnouncedUpstream } from '@hickoryspoke/protocol/generated/dispatch'
import { isAddress } from '@hickoryspoke/runtime/address'
import { describeError, InvalidInput } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'

const MAXIMUM_SLOTS = 100_000
const MAXIMUM_WARMUP_MILLISECONDS = 86_400_000
/** In the year 2109 as Unix milliseconds; start times in microseconds are beyond it. */
const MAXIMUM_BORN = 2 ** 42
/** Leaves room for departures, each of which adds one. */
const MAXIMUM_SEQUENCE = 2 ** 52
/** Visible ASCII but for what a path would have to escape. */
const INSTANCE = /^[!"$&-.0->@-~]{1,256}$/
const TEXT = /^\P{Cc}{0,256}$/u

/** Checks by field. An upstream that has left may lack what is needed only for requests. */
const CHECKS: Readonly<Record<string, (announced: AnnouncedUpstream) => boolean>> = {
  instance: ({ instance }) => INSTANCE.test(instance),
  pool: ({ pool, gone }) => TEXT.test(pool) && (gone || pool !== ''),
  address: ({ address, gone }) => isAddress(address) || (gone && address === ''),
  zone: ({ zone }) => TEXT.test(zone),
  version: ({ version }) => TEXT.test(version),
  slots: ({ slots, gone }) => isCount(slots, MAXIMUM_SLOTS) && (gone || slots > 0),
  warmupMilliseconds: ({ warmupMilliseconds }) => isCount(warmupMilliseconds, MAXIMUM_WARMUP_MILLISECONDS),
  born: ({ born }) => isCount(born, MAXIMUM_BORN),
  sequence: ({ sequence, gone }) => isCount(sequence, gone ? Number.MAX_SAFE_INTEGER : MAXIMUM_SEQUENCE)
}

/** Returns the announcement if its values can be right. The error lists the fields whose values cannot. */
export function checkAnnounced (announced: AnnouncedUpstream): Result<AnnouncedUpstream, InvalidInput> {
  const odd = Object.keys(CHECKS).filter((field) => CHECKS[field]?.(announced) === false)
  if (odd.length === 0) return Ok(announced)
  return Err(InvalidInput.create(odd.map((field) => ({ code: 'out_of_range', path: [field], message: 'not a possible value' }))))
}

/** Encodes the elements of a list. */
export function encodeAnnounced (list: readonly AnnouncedUpstream[]): Buffer[] {
  return list.map((announced) => Buffer.from(AnnouncedUpstream.encode(announced).finish()))
}

/** Decodes one element of a list. */
export function decodeAnnounced (element: Uint8Array): Result<AnnouncedUpstream, InvalidInput> {
  try {
    return Ok(AnnouncedUpstream.decode(element))
  } catch (thrown) {
    return Err(InvalidInput.create([{ code: 'unreadable', path: [], message: describeError(thrown) }]))
  }
}

/** An upstream that has left and of which no more is known. */
export function createTombstone (instance: string, born: number): AnnouncedUpstream {
  return {
    instance, pool: '', address: '', zone: '', slots: 0, draining: true, warmupMilliseconds: 0, born, sequence: 0, version: '', gone: true
  }
}

function isCount (value: number, maximum: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= maximum
}
