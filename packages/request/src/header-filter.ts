import { Err, Ok, type Result } from 'ts-results-es'
import { Refusal } from './refusal.ts'

/** Headers as Node gives them: names and values in turn, repeated names kept. */
export type RawHeaders = readonly string[]

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'http2-settings'
])
const CONSUMED_FROM_REQUEST: ReadonlySet<string> = new Set(['authorization', 'expect', 'content-length'])
const FRAMING_OF_ANSWER: ReadonlySet<string> = new Set(['content-length'])
const MUST_REACH_ITS_END: ReadonlySet<string> = new Set([
  'host', 'content-length', 'content-type', 'content-encoding', 'content-range', 'range', 'authorization', 'cookie', 'idempotency-key', 'expect'
])
/** Common headers whose values need not be compared with all keys. */
const NEVER_A_KEY: ReadonlySet<string> = new Set([
  'host', 'accept', 'accept-encoding', 'accept-language', 'user-agent', 'content-type', 'content-encoding', 'cache-control', 'date', 'sec-fetch-mode'
])
const OWN_PREFIX = 'hickoryspoke-'
const SHORTEST_KEY_CHARACTERS = 8

/** Value of the first header of a name in small letters. */
export function headerValue (headers: RawHeaders, wanted: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() === wanted) return headers[index + 1]
  }
  return undefined
}

/** How often a header of a name in small letters is there. */
export function headerCount (headers: RawHeaders, wanted: string): number {
  let count = 0
  for (let index = 0; index < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() === wanted) count += 1
  }
  return count
}

/** Headers to send to an upstream: without hop-by-hop headers, credentials, and any value that repeats the key. */
export function upstreamRequestHeaders (headers: RawHeaders, key: string | undefined, isKey: (text: string) => boolean): Result<string[], Refusal> {
  const named = namedInConnection(headers)
  for (const name of named) {
    if (MUST_REACH_ITS_END.has(name) || name.startsWith(OWN_PREFIX)) return Err(Refusal.create('bad_connection_header'))
  }
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = (headers[index] as string).toLowerCase()
    const value = headers[index + 1] as string
    if (HOP_BY_HOP.has(name) || CONSUMED_FROM_REQUEST.has(name) || name.startsWith(OWN_PREFIX) || named.has(name)) continue
    if (holdsKey(value, key) || holdsKey(name, key?.toLowerCase())) continue
    if (!NEVER_A_KEY.has(name) && isKey(value)) continue
    kept.push(name, value)
  }
  return Ok(kept)
}

/** Headers to pass on from an upstream's answer; the framing is set by the caller's side. */
export function callerAnswerHeaders (headers: RawHeaders): string[] {
  const named = namedInConnection(headers)
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = (headers[index] as string).toLowerCase()
    if (HOP_BY_HOP.has(name) || FRAMING_OF_ANSWER.has(name) || name.startsWith(OWN_PREFIX) || named.has(name)) continue
    kept.push(headers[index] as string, headers[index + 1] as string)
  }
  return kept
}

/** Whether a value in a query is a key that is in force. */
export function queryHoldsKey (query: string, isKey: (text: string) => boolean): boolean {
  if (query === '') return false
  return [...new URLSearchParams(query).values()].some(isKey)
}

/** Whether text holds the key, plain or with percent escapes. */
export function holdsKey (text: string, key: string | undefined): boolean {
  if (key === undefined || key.length < SHORTEST_KEY_CHARACTERS) return false
  return text.includes(key) || (text.includes('%') && decodeLoosely(text).includes(key))
}

function decodeLoosely (text: string): string {
  return text.replace(/%([0-9A-Fa-f]{2})/g, (_, digits: string) => String.fromCharCode(Number.parseInt(digits, 16)))
}

function namedInConnection (headers: RawHeaders): ReadonlySet<string> {
  const named = new Set<string>()
  for (let index = 0; index < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() !== 'connection') continue
    for (const name of (headers[index + 1] as string).split(',')) {
      const plain = name.trim().toLowerCase()
      if (plain !== '' && plain !== 'close' && plain !== 'keep-alive') named.add(plain)
    }
  }
  return named
}
